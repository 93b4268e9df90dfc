/** Manages the connections of this process to one worker, up to a limit. */
import { Client } from 'undici'
import type { IClosable } from '@umberspar/base/common/closing'
import type { TlsCertificateProvider } from '../tls/tlsCertificateProvider.js'
import { buildConnectTls } from '../tls/tlsOptions.js'

/**
 * Servers usually close idle connections after 5 s. Closing them earlier from this side avoids
 * the race in which a request is sent while the server is closing the connection: its outcome
 * would be reported as unknown although it was not executed.
 */
const IDLE_TIMEOUT_MS = 2000
/** Subtracted from the server's `Keep-Alive` hint, which can shorten the idle timeout but never extend it. */
const KEEP_ALIVE_HINT_MARGIN_MS = 1000
/** TCP retransmits a lost SYN after 1 s; the timeout leaves time for that one retransmission. */
const CONNECT_TIMEOUT_MS = 2000
/** Disables undici's own timeouts: the deadline of the attempt applies instead. */
const NO_TIMEOUT = 0

/**
 * A pool with one undici Client per connection, each of which has one request at a time.
 * undici's own Pool is not used because its limit is fixed, and because it queues requests
 * that can then neither be cancelled nor reordered. Here the limit can change at any time,
 * and a request is refused immediately if no connection is available.
 */
export class WorkerConnections implements IClosable {
  private readonly openClients = new Set<Client>()
  /** Ordered by last use. The most recently used connection is reused first, so that the others can time out. */
  private readonly idleClients: Client[] = []
  private limit = 0

  /**
   * @param address `host:port`
   * @param tls provides the certificates; without it connections are plain text
   */
  constructor (
    private readonly address: string,
    private readonly tls?: TlsCertificateProvider
  ) {}

  /** @returns whether no connection is open */
  isEmpty (): boolean {
    return this.openClients.size === 0
  }

  /** @param limit the new connection limit; excess idle connections are closed immediately, those in use after their request */
  setLimit (limit: number): void {
    this.limit = limit
    this.closeExcess()
  }

  /** @returns a connection for one request; undefined if all are in use */
  acquire (): Client | undefined {
    const client = this.idleClients.pop()
    if (client !== undefined) return client
    if (this.openClients.size >= this.limit) return undefined
    return this.openClient()
  }

  /**
   * Returns a connection to the pool.
   * @param client a connection returned by `acquire`
   * @param isReusable whether its request ended cleanly
   */
  release (client: Client, isReusable: boolean): void {
    if (!isReusable) {
      this.closeClient(client)
      return
    }
    this.idleClients.push(client)
    this.closeExcess()
  }

  /** Closes all connections, including those with requests in flight. */
  async close (): Promise<void> {
    this.limit = 0
    this.idleClients.length = 0
    await Promise.all([...this.openClients].map((client) => client.destroy()))
    this.openClients.clear()
  }

  private openClient (): Client {
    const { tls } = this
    const client = new Client(`${tls === undefined ? 'http' : 'https'}://${this.address}`, {
      ...(tls === undefined ? {} : { connect: buildConnectTls(tls) }),
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_HINT_MARGIN_MS,
      connectTimeout: CONNECT_TIMEOUT_MS,
      headersTimeout: NO_TIMEOUT,
      bodyTimeout: NO_TIMEOUT
    })
    client.on('disconnect', () => { this.removeIdle(client) })
    this.openClients.add(client)
    return client
  }

  private closeExcess (): void {
    while (this.idleClients.length > 0 && this.openClients.size > this.limit) {
      const oldest = this.idleClients.shift()
      if (oldest !== undefined) this.closeClient(oldest)
    }
  }

  private removeIdle (client: Client): void {
    const index = this.idleClients.indexOf(client)
    if (index < 0) return
    this.idleClients.splice(index, 1)
    this.closeClient(client)
  }

  /** The connection counts towards the limit until its socket is closed, so that a new one can't exceed the limit. */
  private closeClient (client: Client): void {
    const removeClient = (): void => { this.openClients.delete(client) }
    client.destroy().then(removeClient, removeClient)
  }
}
