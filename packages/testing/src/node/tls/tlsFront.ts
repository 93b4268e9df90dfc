/** Takes TLS off in front of a stand-in that speaks plain text. */
import { connect, type Socket } from 'node:net'
import type { AddressInfo } from 'node:net'
import { createServer, type Server, type TLSSocket } from 'node:tls'
import type { IClosable } from '@umberspar/base/common/closing'
import type { CertifiedKey } from './testCertificates.js'

/** What a front shows and expects. */
export interface TlsFrontOptions {
  /** `host:port` of the stand-in. */
  readonly target: string
  readonly identity: CertifiedKey
  /** With it, clients must show a certificate of this CA. */
  readonly clientCa?: string
}

/** A listener that hands decrypted bytes on, and sends back what comes. */
export class TlsFront implements IClosable {
  private readonly server: Server
  private readonly open = new Set<Socket>()

  constructor (private readonly options: TlsFrontOptions) {
    const { identity, clientCa } = options
    const isChecked = clientCa !== undefined
    this.server = createServer({
      cert: identity.certificate,
      key: identity.key,
      ...(isChecked ? { ca: clientCa } : {}),
      requestCert: isChecked,
      rejectUnauthorized: isChecked,
      ALPNProtocols: ['h2', 'http/1.1']
    }, (socket) => { this.join(socket) })
    this.server.on('tlsClientError', () => {})
  }

  /** @returns `host:port` of a free port on loopback */
  start (): Promise<string> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => resolve(`127.0.0.1:${(this.server.address() as AddressInfo).port}`))
    })
  }

  close (): Promise<void> {
    for (const socket of this.open) socket.destroy()
    return new Promise((resolve) => { this.server.close(() => resolve()) })
  }

  private join (outside: TLSSocket): void {
    const [host = '', port = ''] = this.options.target.split(':')
    const inside = connect(Number(port), host)
    this.pipeUntilClosed(outside, inside)
    this.pipeUntilClosed(inside, outside)
  }

  private pipeUntilClosed (from: Socket, to: Socket): void {
    this.open.add(from)
    from.on('error', () => {})
    from.once('close', () => {
      this.open.delete(from)
      to.destroy()
    })
    from.pipe(to)
  }
}
