/** Sends and receives the datagrams of the exchange. */
import { createSocket, type Socket } from 'node:dgram'
import type { IClosable } from '@umberspar/base/common/closing'
import { splitAddress } from '../address.js'

/** Receives a datagram. */
export type DatagramListener = (datagram: Buffer, host: string) => void

/** A way to send datagrams to other VMs and to receive theirs. */
export interface IDatagramSocket extends IClosable {
  /**
   * @param address `host:port` to receive at
   * @param onDatagram called for each datagram
   * @param onError called if receiving is not possible
   */
  listen(address: string, onDatagram: DatagramListener, onError: (error: Error) => void): void
  /** Sends a datagram, without knowing whether it arrives. */
  send(datagram: Buffer, address: string): void
}

/** Datagrams over UDP. */
export class DatagramSocket implements IDatagramSocket {
  private readonly socket: Socket = createSocket('udp4')
  private isListening = false
  private isClosed = false

  listen (address: string, onDatagram: DatagramListener, onError: (error: Error) => void): void {
    if (this.isClosed) return
    const { host, port } = splitAddress(address)
    this.socket.on('error', onError)
    this.socket.on('message', (datagram, { address: sender }) => { onDatagram(datagram, sender) })
    this.socket.bind(port, host, () => { this.isListening = true })
  }

  send (datagram: Buffer, address: string): void {
    if (!this.isListening || this.isClosed) return
    const { host, port } = splitAddress(address)
    // A VM that is gone may make the network report an error; its absence is found by its silence.
    this.socket.send(datagram, port, host, () => {})
  }

  close (): void {
    if (this.isClosed) return
    this.isClosed = true
    this.socket.close()
  }
}
