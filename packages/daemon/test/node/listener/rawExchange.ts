/** Speaks to a listener byte by byte, as no HTTP client would. */
import { connect, type Socket } from 'node:net'

/** What came back on a connection. */
export interface RawAnswer {
  /** Status codes in order. */
  readonly statuses: readonly number[]
  readonly text: string
  /** Whether the other side closed. */
  readonly isClosed: boolean
}

const STATUS_LINE = /HTTP\/1\.1 (\d{3}) /g

/**
 * Opens a connection.
 * @param address `host:port`
 * @param localAddress the address to come from
 * @returns the socket, once connected
 */
export function openSocket (address: string, localAddress?: string): Promise<Socket> {
  const [host = '', port = ''] = address.split(':')
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port: Number(port), ...(localAddress === undefined ? {} : { localAddress }) }, () => resolve(socket))
    socket.once('error', reject)
  })
}

/**
 * Reads until the other side closes, or until text comes that ends the wait.
 * @param socket an open one, destroyed at the end
 * @param isEnough whether what came so far is all that is waited for
 * @returns what came
 */
export function readAnswer (socket: Socket, isEnough: (text: string) => boolean = () => false): Promise<RawAnswer> {
  return new Promise((resolve) => {
    let text = ''
    const finish = (isClosed: boolean): void => {
      socket.destroy()
      resolve({ statuses: [...text.matchAll(STATUS_LINE)].map((match) => Number(match[1])), text, isClosed })
    }
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1')
      if (isEnough(text)) finish(false)
    })
    socket.on('error', () => {})
    socket.once('close', () => finish(true))
  })
}

/**
 * @param address `host:port`
 * @param bytes what to send, one byte per character
 * @param isEnough whether what came so far is all that is waited for
 * @returns what came back
 */
export async function exchangeRaw (address: string, bytes: string, isEnough?: (text: string) => boolean): Promise<RawAnswer> {
  const socket = await openSocket(address)
  const answer = readAnswer(socket, isEnough)
  socket.write(Buffer.from(bytes, 'latin1'))
  return await answer
}
