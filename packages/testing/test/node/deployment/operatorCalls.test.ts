import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { OperatorCalls } from '../../../src/node/deployment/operatorCalls.js'

const IDLE_MS = 3_000

/** Keeps the thread busy, as twelve daemons and their caller do on a starved machine. */
function holdThread (spanMs: number): void {
  const until = performance.now() + spanMs
  while (performance.now() < until);
}

describe('the tools\' calls to operators\' listeners', () => {
  it('succeed although a listener on the same thread is about to end the connection as idle', async () => {
    // Daemons and their caller share one thread that was held up for longer than the
    // listener keeps idle connections. The caller wrote its next call on the kept
    // connection; the listener's overdue timer then ended it unread: ECONNRESET.
    const server = createServer({ keepAliveTimeout: IDLE_MS }, (_request, response) => { response.end('{"configurationVersion":3}') })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const calls = new OperatorCalls()
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    try {
      assert.equal(await calls.readVersion(address), 3)
      // A whole turn of the loop: both ends have to count the connection as idle.
      await new Promise((resolve) => { setTimeout(resolve, 1) })
      holdThread(IDLE_MS * 1.4)
      assert.equal(await calls.readVersion(address), 3)
    } finally {
      await calls.close()
      server.close()
    }
  })
})
