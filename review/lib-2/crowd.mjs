/**
 * Clients that nobody controls. Each connection sends one request of legal size with very many short header lines, at
 * a path that no route has; when it has ended, the client comes back. Started by a case as a process of its own:
 * host, port, connections, form. Forms: `trailers` sends trailers without end behind an empty body in chunks, until
 * the machine closes the connection; `leaves` sends the beginning of a body, and leaves when it is answered.
 */
import { connect } from 'node:net'

const [, , host, port, connections, form] = process.argv
const LEAVES = form === 'leaves'
const LINES = 2_650
const HEAD = [
  'POST /nothing/here HTTP/1.1',
  'Host: sheets.example',
  'X-Umberspar-Request-Id: crowd',
  'X-Umberspar-Deadline-Ms: 3000',
  'Transfer-Encoding: chunked',
  ...Array.from({ length: LINES }, () => 'a:b')
].join('\r\n') + '\r\n\r\n'
const FIRST = Buffer.from(HEAD + (LEAVES ? '5\r\nab' : '0\r\n'))
const TRAILERS = Buffer.from('ab:cd\r\n'.repeat(9_000))
const RETURN_AFTER_MS = 20

function sendTrailers (socket) {
  socket.write(TRAILERS, (error) => { if (!error && socket.writable) sendTrailers(socket) })
}

function open () {
  const socket = connect({ host, port: Number(port) })
  socket.on('error', () => {})
  socket.on('close', () => { setTimeout(open, RETURN_AFTER_MS) })
  socket.on('connect', () => {
    socket.write(FIRST)
    if (!LEAVES) sendTrailers(socket)
  })
  socket.on('data', () => { if (LEAVES) socket.destroy() })
}

for (let count = 0; count < Number(connections); count++) open()
