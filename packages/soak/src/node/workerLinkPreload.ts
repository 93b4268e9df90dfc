/**
 * Preloaded into each entry process. Cuts the process off from workers on demand: a message from the
 * soak's own process names the fault and the workers' addresses. Other processes keep their links.
 */
import { Socket } from 'node:net'
import { applyWorkerLinkFault, refuseConnection, WorkerLinkFault } from '@umberspar/testing/node/standIns/usersPlatform/workerLink'

/** What becomes of the process's connections to workers. */
export interface WorkerLinkMessage {
  readonly fault: WorkerLinkFault
  /** `host:port` of the workers concerned. */
  readonly addresses: readonly string[]
}

type Connect = (this: Socket, ...args: unknown[]) => Socket

let fault = WorkerLinkFault.None
let addresses: ReadonlySet<string> = new Set()
const openSockets = new Map<Socket, string>()
const connect = Socket.prototype.connect as Connect

process.on('message', ({ workerLink }: { readonly workerLink?: WorkerLinkMessage }) => {
  if (workerLink === undefined) return
  const affected = workerLink.fault === WorkerLinkFault.None ? addresses : new Set(workerLink.addresses)
  for (const [socket, address] of openSockets) {
    if (affected.has(address)) applyWorkerLinkFault(workerLink.fault, socket)
  }
  fault = workerLink.fault
  addresses = new Set(workerLink.addresses)
})

Socket.prototype.connect = function (this: Socket, ...args: unknown[]): Socket {
  // Internal calls of Node.js pass options and callback in one array.
  const first: unknown = args[0]
  const options = (Array.isArray(first) ? first[0] : first) as { host?: string, port?: number | string } | undefined
  const address = `${options?.host}:${options?.port}`
  if (fault !== WorkerLinkFault.None && addresses.has(address)) return refuseConnection(fault, this)
  openSockets.set(this, address)
  this.once('close', () => { openSockets.delete(this) })
  return connect.apply(this, args)
} as typeof Socket.prototype.connect
