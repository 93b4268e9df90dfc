/**
 * Preloaded into each entry process. Redirects its connections to other entry VMs to
 * relays; an environment variable names the file that maps addresses to relays. The
 * addresses that VMs register are not changed.
 */
import { readFileSync } from 'node:fs'
import { Socket } from 'node:net'

const LINKS_VARIABLE = 'UMBERSPAR_SOAK_LINKS'

type Connect = (this: Socket, ...args: unknown[]) => Socket

const relays = JSON.parse(readFileSync(process.env[LINKS_VARIABLE]!, 'utf8')) as Readonly<Record<string, string>>
const connect = Socket.prototype.connect as Connect

Socket.prototype.connect = function (this: Socket, ...args: unknown[]): Socket {
  // Internal calls of Node.js pass options and callback in one array.
  const first: unknown = args[0]
  const options = (Array.isArray(first) ? first[0] : first) as { host?: string, port?: number | string } | undefined
  const relay = relays[`${options?.host}:${options?.port}`]
  if (options !== undefined && relay !== undefined) {
    const [host, port] = relay.split(':')
    options.host = host!
    options.port = Number(port)
  }
  return connect.apply(this, args)
} as typeof Socket.prototype.connect
