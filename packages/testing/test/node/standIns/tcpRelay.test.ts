import assert from 'node:assert/strict'
import { createServer, connect, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { LinkFault, TcpRelay } from '../../../src/node/standIns/tcpRelay.js'

describe('a link with faults', { timeout: 20_000 }, () => {
  let server: Server
  let relay: TcpRelay
  let socket: Socket
  let received: string[]

  async function waitForText (text: string): Promise<void> {
    while (received.join('') !== text) await new Promise<void>((resolve) => { socket.once('data', () => { resolve() }) })
  }

  beforeEach(async () => {
    server = createServer((peer) => {
      peer.on('error', () => {})
      peer.on('data', (chunk) => { peer.write(`echo ${String(chunk)}`) })
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const address = server.address()
    relay = new TcpRelay(`127.0.0.1:${typeof address === 'object' ? address?.port : ''}`)
    const [host, port] = (await relay.start()).split(':')
    received = []
    socket = connect(Number(port), host)
    socket.on('data', (chunk) => { received.push(String(chunk)) })
    await new Promise<void>((resolve) => { socket.once('connect', () => { resolve() }) })
    socket.write('a')
    await waitForText('echo a')
  })

  afterEach(async () => {
    socket.destroy()
    await relay.close()
    server.close()
  })

  for (const fault of [LinkFault.CutThere, LinkFault.CutBack, LinkFault.Silence]) {
    it(`holds bytes back under '${fault}' and lets them pass afterwards`, async () => {
      relay.setFault(fault)
      socket.write('b')
      // A second connection's whole round trip past the relay: time enough for bytes that were not held.
      await new Promise<void>((resolve) => {
        const direct = connect((server.address() as { port: number }).port, '127.0.0.1')
        direct.write('c')
        direct.once('data', () => { direct.destroy(); resolve() })
      })
      assert.equal(received.join(''), 'echo a')
      relay.setFault(LinkFault.None)
      await waitForText('echo aecho b')
    })
  }

  it('resets open connections and new ones', async () => {
    const isReset = new Promise<string>((resolve) => { socket.once('error', (error: NodeJS.ErrnoException) => { resolve(error.code ?? '') }) })
    relay.setFault(LinkFault.Reset)
    assert.equal(await isReset, 'ECONNRESET')
  })

  it('passes bytes later under delay', async () => {
    relay.setFault(LinkFault.Delay)
    socket.write('b')
    await waitForText('echo aecho b')
  })
})
