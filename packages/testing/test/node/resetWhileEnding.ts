/** Resets a connection that it has just ended, and ends by itself if that left nothing open. */
import { connect, createServer, type AddressInfo } from 'node:net'
import { resetSocket } from '../../src/node/resetSocket.js'

const server = createServer((socket) => { socket.on('error', () => {}) })
server.listen(0, '127.0.0.1', () => {
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1', () => {
    socket.end()
    resetSocket(socket)
  })
  socket.on('error', () => {})
  socket.on('close', () => { server.close() })
})
