import assert from 'node:assert/strict'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { HttpQuotaTransport } from '../../../src/node/quota/quotaTransport.js'

const BLOCK = 'a'.repeat(65_536)

describe('HttpQuotaTransport', { timeout: 30_000 }, () => {
  let server: Server
  let transport: HttpQuotaTransport
  let address: string
  let isEndless: boolean

  beforeEach(async () => {
    isEndless = false
    server = createServer((request, response) => {
      request.resume()
      if (!isEndless) return response.end('granted')
      const writeBlock = (): void => { if (!response.destroyed) response.write(BLOCK, () => { setImmediate(writeBlock) }) }
      writeBlock()
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    transport = new HttpQuotaTransport()
  })

  afterEach(() => {
    transport.close()
    server.closeAllConnections()
    server.close()
  })

  it('returns the response', async () => {
    assert.deepEqual(await transport.send(address, '/v1/quota').response, { status: 200, text: 'granted' })
  })

  // Guards against a response of another VM that is kept without a limit.
  it('ends the connection of a response without end', async () => {
    isEndless = true
    assert.equal(await transport.send(address, '/v1/quota').response, undefined)
  })
})
