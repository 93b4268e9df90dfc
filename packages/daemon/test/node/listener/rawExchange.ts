/** Exchanges raw bytes with a listener, including ones that no HTTP client would send. */
import { connect, type Socket } from 'node:net'

/** What was received on a connection. */
export interface RawResponse {
  /** Status codes in order. */
  readonly statuses: readonly number[]
  readonly text: string
  /** Whether the other side closed the connection. */
  readonly isClosed: boolean
}

const STATUS_LINE = /HTTP\/1\.1 (\d{3}) /g

/**
 * Opens a connection.
 * @param address `host:port`
 * @param localAddress the local address to connect from
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
 * Reads until the other side closes the connection or enough text was received.
 * @param socket an open socket, destroyed at the end
 * @param isEnough whether the text received so far is enough
 * @returns what was received
 */
export function readResponse (socket: Socket, isEnough: (text: string) => boolean = () => false): Promise<RawResponse> {
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
 * @param bytes the bytes to send, one per character
 * @param isEnough whether the text received so far is enough
 * @returns what was received
 */
export async function exchangeRaw (address: string, bytes: string, isEnough?: (text: string) => boolean): Promise<RawResponse> {
  const socket = await openSocket(address)
  const response = readResponse(socket, isEnough)
  socket.write(Buffer.from(bytes, 'latin1'))
  return await response
}
