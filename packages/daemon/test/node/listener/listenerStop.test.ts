import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { it } from 'node:test'
import { HttpListener } from '../../../src/node/httpListener.js'

/** More than the buffers of a loopback connection take. */
const BODY_BYTES = 16_000_000

it('sends responses that were written before it stops to callers that read slowly', { timeout: 30_000 }, async () => {
  // Guards against planned stops that truncate responses.
  let handleWritten = (): void => {}
  const isWritten = new Promise<void>((resolve) => { handleWritten = resolve })
  const listener = new HttpListener('test', (_request, response) => {
    response.end(Buffer.alloc(BODY_BYTES))
    handleWritten()
  })
  const address = (await listener.listen('127.0.0.1:0')).unwrap()
  const socket = connect(Number(address.split(':')[1]), '127.0.0.1', () => { socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n') })
  await isWritten
  listener.stop()
  let receivedBytes = 0
  socket.on('data', (chunk) => { receivedBytes += chunk.length })
  await new Promise((resolve) => { socket.once('close', resolve) })
  assert.ok(receivedBytes > BODY_BYTES, `${receivedBytes} bytes`)
  await listener.close()
})
