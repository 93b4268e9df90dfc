import assert from 'node:assert/strict'
import { createServer, type Server, type ServerResponse } from 'node:http'
import { type AddressInfo, connect } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { createLeavingListener } from '../../../src/node/stop/leavingListener.js'

function formatRequest (target: string): string {
  return `GET ${target} HTTP/1.1\r\nHost: a\r\n\r\n`
}

describe('createLeavingListener', () => {
  let server: Server
  let isLeaving: boolean
  let handled: string[]
  /** Responses that are not ended yet, by target; answered at once if undefined. */
  let held: Map<string, ServerResponse> | undefined

  beforeEach(async () => {
    isLeaving = false
    handled = []
    held = undefined
    server = createServer(createLeavingListener((request, response) => {
      handled.push(request.url!)
      if (held === undefined) response.end(`answer to ${request.url};`)
      else held.set(request.url!, response)
    }, () => isLeaving))
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  })

  afterEach(() => {
    server.closeAllConnections()
    server.close()
  })

  /** Sends bytes, then more once the first responses have arrived, and reads until the connection has ended. */
  async function exchange (bytes: string, expected = '', more = ''): Promise<string> {
    return await new Promise((resolve) => {
      let received = ''
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1', () => { socket.write(bytes) })
      socket.on('data', (chunk) => {
        received += chunk.toString()
        if (expected !== '' && received.endsWith(expected)) socket.write(more)
      })
      socket.on('close', () => { resolve(received) })
    })
  }

  it('handles nothing behind the request whose response ends the connection', async () => {
    // Guards against pipelined requests that run, although the response before them closes the connection.
    isLeaving = true
    const received = await exchange(['/1', '/2', '/3'].map(formatRequest).join(''))
    assert.deepEqual(handled, ['/1'])
    assert.match(received, /connection: close[^]*answer to \/1;$/i)
  })

  it('answers the requests before it first', async () => {
    held = new Map()
    const received = exchange(formatRequest('/1') + formatRequest('/2'), 'answer to /2;', formatRequest('/3') + formatRequest('/4'))
    while (handled.length < 2) await new Promise((resolve) => { setImmediate(resolve) })
    isLeaving = true
    for (const [target, response] of held) response.end(`answer to ${target};`)
    held = undefined
    assert.match(await received, /answer to \/1;[^]*answer to \/2;[^]*connection: close[^]*answer to \/3;$/i)
    assert.deepEqual(handled, ['/1', '/2', '/3'])
  })
})
