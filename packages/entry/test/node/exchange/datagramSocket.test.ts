import assert from 'node:assert/strict'
import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { afterEach, describe, it } from 'node:test'
import { DatagramSocket } from '../../../src/node/exchange/datagramSocket.js'

const HOST = '127.0.0.1'

describe('the socket of the exchange', () => {
  const opened: Array<{ close(): unknown }> = []

  afterEach(() => {
    for (const socket of opened.splice(0)) socket.close()
  })

  function createDatagramSocket (): DatagramSocket {
    const socket = new DatagramSocket()
    opened.push(socket)
    return socket
  }

  async function findFreeAddress (): Promise<string> {
    const socket = createSocket('udp4')
    socket.bind(0, HOST)
    await once(socket, 'listening')
    const address = `${HOST}:${socket.address().port}`
    socket.close()
    await once(socket, 'close')
    return address
  }

  /** Listens, and sends datagrams to itself until one has come back. */
  async function listenAt (socket: DatagramSocket, address: string, onDatagram: (text: string, host: string) => void = () => {}): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      const timer = setInterval(() => { socket.send(Buffer.from('ready'), address) }, 5)
      opened.push({ close: () => { clearInterval(timer) } })
      socket.listen(address, (datagram, host) => {
        clearInterval(timer)
        resolve()
        onDatagram(datagram.toString(), host)
      }, reject)
    })
  }

  it('carries datagrams with the sender\'s host', async () => {
    const [first, second] = [createDatagramSocket(), createDatagramSocket()]
    const address = await findFreeAddress()
    let handleText: (text: string) => void = () => {}
    await listenAt(first, address, (text, host) => { handleText(`${text} from ${host}`) })
    await listenAt(second, await findFreeAddress())
    const received = new Promise<string>((resolve) => {
      handleText = (text) => { if (text.startsWith('hello')) resolve(text) }
    })
    const timer = setInterval(() => { second.send(Buffer.from('hello'), address) }, 5)
    opened.push({ close: () => { clearInterval(timer) } })
    assert.equal(await received, `hello from ${HOST}`)
  })

  // Guards against a process that ends because an exchange is used outside of its lifetime.
  it('sends nothing before it listens and after it was closed, and may be closed twice', async () => {
    const address = await findFreeAddress()
    const socket = createDatagramSocket()
    socket.send(Buffer.from('early'), address)
    await listenAt(socket, address)
    socket.close()
    socket.send(Buffer.from('late'), address)
    socket.close()
  })

  it('can be told to listen after it was closed, as in a start that was interrupted', async () => {
    const socket = createDatagramSocket()
    socket.close()
    socket.listen(await findFreeAddress(), () => {}, assert.fail)
  })

  it('reports an address that is in use, and sends nothing then', async () => {
    const address = await findFreeAddress()
    await listenAt(createDatagramSocket(), address)
    const socket = createDatagramSocket()
    const error = await new Promise<Error>((resolve) => { socket.listen(address, () => {}, resolve) })
    assert.match(error.message, /EADDRINUSE/)
    socket.send(Buffer.from('text'), address)
  })
})
