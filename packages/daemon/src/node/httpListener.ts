/** One HTTP listener that closes without cutting off what is open. */
import type { IClosable } from '@umberspar/base/common/closing'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import { createServer, type RequestListener, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'

const ADDRESS_PATTERN = /^\[?(.*?)\]?:(\d+)$/
/** Longer than the 2 s for which well-behaved callers keep an idle connection. */
const KEEP_ALIVE_SPAN_MS = 5000

/** A listening HTTP server. */
export class HttpListener implements IClosable {
  private readonly server: Server

  constructor (
    private readonly name: string,
    handler: RequestListener
  ) {
    this.server = createServer({ keepAliveTimeout: KEEP_ALIVE_SPAN_MS, requestTimeout: 0 }, handler)
  }

  /**
   * @param address `host:port`; port 0 lets the system choose
   * @returns the address it listens on
   */
  async listen (address: string): Promise<Result<string, StepError>> {
    const { host, port } = splitAddress(address)
    return await new Promise((resolve) => {
      this.server.once('error', (cause) => {
        resolve(new Err(new StepError({ code: ErrorCode.Unavailable, step: `listen-${this.name}`, peer: address, message: cause.message, cause })))
      })
      this.server.listen(port, host, () => {
        const bound = this.server.address() as AddressInfo
        resolve(new Ok(bound.family === 'IPv6' ? `[${bound.address}]:${bound.port}` : `${bound.address}:${bound.port}`))
      })
    })
  }

  /** @returns connections that are open */
  countConnections (): Promise<number> {
    return new Promise((resolve) => { this.server.getConnections((failure, count) => resolve(failure ? 0 : count)) })
  }

  /** Takes no new connections and ends idle ones; open requests go on. */
  stop (): void {
    if (this.server.listening) this.server.close()
    this.server.closeIdleConnections()
  }

  /** Ends everything, open requests too. */
  async close (): Promise<void> {
    if (this.server.listening) this.server.close()
    this.server.closeAllConnections()
  }
}

/**
 * @param address `host:port` or `[v6]:port`
 * @returns its parts
 */
export function splitAddress (address: string): { host: string, port: number } {
  const match = ADDRESS_PATTERN.exec(address)
  return { host: match?.[1] ?? '', port: Number(match?.[2] ?? 0) }
}
