/**
 * Callers on a thread of their own, which send requests and leave while the main thread, with the
 * entry process, is blocked.
 */
import { connect, type Socket } from 'node:net'
import { parentPort, workerData } from 'node:worker_threads'
import { formatCall, type PipelinedCall } from '../../../src/node/standIns/usersPlatform/pipelinedCaller.js'
import { type CallerOrder, Departure, FlagIndex, type ThreadInput } from './leavingCallers.js'

/** How long the callers wait for an answer. */
const PATIENCE_MS = 100
/** How long the main thread stays blocked after they left; the limit for work that goes on is half a second. */
const BLOCKED_AFTER_MS = 600

const DEPARTURES: Readonly<Record<Departure, (socket: Socket) => void>> = {
  [Departure.Close]: (socket) => { socket.destroy() },
  [Departure.Reset]: (socket) => { socket.resetAndDestroy() },
  [Departure.HalfClose]: (socket) => { socket.end() },
  [Departure.Stay]: () => {}
}

const { address, flags: buffer } = workerData as ThreadInput
const flags = new Int32Array(buffer)
const sockets: Socket[] = []

async function openConnection (): Promise<Socket> {
  const [host, port] = address.split(':')
  const socket = connect({ host: host!, port: Number(port), noDelay: true })
  socket.on('error', () => {})
  socket.resume()
  sockets.push(socket)
  await new Promise<void>((resolve) => { socket.once('connect', resolve) })
  return socket
}

async function waitMs (spanMs: number): Promise<void> {
  await new Promise<void>((resolve) => { setTimeout(resolve, spanMs) })
}

async function sendAndLeave ({ connections, calls, departure, waitsForAttempt }: CallerOrder): Promise<void> {
  const used = sockets.splice(0)
  while (used.length < connections) used.push(await openConnection())
  for (const [index, socket] of used.entries()) socket.write(calls[index]!.map(formatCall).join(''))
  if (waitsForAttempt) Atomics.wait(flags, FlagIndex.Attempted, 0)
  await waitMs(PATIENCE_MS)
  for (const socket of used) DEPARTURES[departure](socket)
  await waitMs(BLOCKED_AFTER_MS)
  Atomics.store(flags, FlagIndex.Left, 1)
  Atomics.notify(flags, FlagIndex.Left)
}

/** Opens connections and sends one request on each, whose answers show that the entry process keeps them open. */
async function openKept (calls: readonly PipelinedCall[]): Promise<void> {
  for (const call of calls) {
    const socket = await openConnection()
    const answered = new Promise<void>((resolve) => { socket.once('data', () => { resolve() }) })
    socket.write(formatCall(call))
    await answered
  }
}

parentPort!.on('message', (order: CallerOrder) => {
  const done = order.opensKept ? openKept(order.calls[0]!) : sendAndLeave(order)
  done.then(() => { parentPort!.postMessage('done') }, (error: unknown) => { throw error })
})
