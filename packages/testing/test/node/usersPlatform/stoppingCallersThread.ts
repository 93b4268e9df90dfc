/** Callers on a thread of their own, which connect and send requests while the main thread, with the entry process, is blocked. */
import { connect } from 'node:net'
import { parentPort, workerData } from 'node:worker_threads'
import { formatCall } from '../../../src/node/standIns/usersPlatform/pipelinedCaller.js'

/** The data that the test passes to this thread. */
export interface StoppingCallersInput {
  readonly address: string
  readonly connections: number
  /** Set to 1 and notified when all requests are sent. */
  readonly sent: Int32Array
}

const { address, connections, sent } = workerData as StoppingCallersInput
const [host, port] = address.split(':')
const responses: string[] = []
let connected = 0

function recordResponse (response: string): void {
  responses.push(response)
  if (responses.length === connections) parentPort!.postMessage(responses)
}

for (let index = 0; index < connections; index++) {
  let received = ''
  const socket = connect({ host: host!, port: Number(port), noDelay: true }, () => {
    socket.write(formatCall({ id: `id-${index}`, path: '/short/1' }), () => {
      if (++connected < connections) return
      Atomics.store(sent, 0, 1)
      Atomics.notify(sent, 0)
    })
  })
  socket.on('data', (chunk) => { received += chunk.toString('latin1') })
  socket.on('error', () => {})
  socket.on('close', () => { recordResponse(received) })
}
