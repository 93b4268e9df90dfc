/**
 * Loaded before an entry process's own program: leads its connections to other entry
 * VMs through relays, by the table in the file that the variable names. The addresses
 * that VMs register stay as they are.
 */
import { readFileSync } from 'node:fs'
import { Socket } from 'node:net'

const LINKS_VARIABLE = 'UMBERSPAR_SOAK_LINKS'

type Connect = (this: Socket, ...args: unknown[]) => Socket

const relays = JSON.parse(readFileSync(process.env[LINKS_VARIABLE]!, 'utf8')) as Readonly<Record<string, string>>
const connect = Socket.prototype.connect as Connect

Socket.prototype.connect = function (this: Socket, ...args: unknown[]): Socket {
  // Node.js passes its own calls on as one list of options and callback.
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
