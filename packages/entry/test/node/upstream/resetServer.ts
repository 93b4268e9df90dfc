/** A server on a worker thread that sends part of a response without a length, then resets or closes its connection. */
import { createServer } from 'node:net'
import { parentPort, workerData } from 'node:worker_threads'

/** The data that the test passes to this thread. */
interface ResetServerData {
  readonly isReset: boolean
  /** Set to 1 and notified when the connection has been reset or closed. */
  readonly ended: Int32Array
}

const { isReset, ended } = workerData as ResetServerData

const server = createServer((socket) => {
  socket.on('error', () => {})
  socket.on('data', () => {
    socket.write('HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\n\r\nfirst part')
  })
})

server.on('connection', (socket) => {
  parentPort!.on('message', () => {
    socket.write('second part', () => {
      if (isReset) socket.resetAndDestroy()
      else socket.end()
      setImmediate(() => {
        Atomics.store(ended, 0, 1)
        Atomics.notify(ended, 0)
      })
    })
  })
})

server.listen(0, '127.0.0.1', () => {
  const address = server.address()
  parentPort!.postMessage(typeof address === 'object' ? address?.port : undefined)
})
