/** The connections of this process to one worker, never more than the limit. */
import { Client } from 'undici'
import type { IClosable } from '@umberspar/base/common/closing'
import type { TlsKeeper } from '../tls/tlsKeeper.js'
import { buildConnectTls } from '../tls/tlsOptions.js'

/**
 * An idle connection is closed after 2 s. Servers usually close theirs after 5 s;
 * closing first avoids the race in which a request goes out while the server's
 * close is on its way, which ends as "unknown" although nothing ran.
 */
const IDLE_TIMEOUT_MS = 2000
/** Servers' hints may shorten the idle span, never lengthen it. */
const KEEP_ALIVE_HINT_MARGIN_MS = 1000
/** A lost SYN is repeated after 1 s; a worker that misses both is not waited for. */
const CONNECT_TIMEOUT_MS = 2000
/** undici's own limits are off: the attempt's deadline alone bounds it. */
const NO_TIMEOUT = 0

/**
 * Holds one undici Client per connection, each with one request at a time.
 * undici's Pool is not used: its limit is fixed, and it queues requests where
 * they can neither be cancelled nor ordered; here limits change at any time and
 * a request that finds no connection is refused at once.
 */
export class WorkerConnections implements IClosable {
  private readonly openClients = new Set<Client>()
  /** The last used connection is last and is taken first: the others may then lapse. */
  private readonly idleClients: Client[] = []
  private limit = 0

  /**
   * @param address `host:port`
   * @param tls certificates; plain text without
   */
  constructor (
    private readonly address: string,
    private readonly tls?: TlsKeeper
  ) {}

  /** @returns whether no connection is left */
  isEmpty (): boolean {
    return this.openClients.size === 0
  }

  /** @param limit connections from now on; idle ones above it close at once, used ones after their request */
  setLimit (limit: number): void {
    this.limit = limit
    this.closeExcess()
  }

  /** @returns a connection for one request; undefined if all are taken */
  acquire (): Client | undefined {
    const client = this.idleClients.pop()
    if (client !== undefined) return client
    if (this.openClients.size >= this.limit) return undefined
    return this.openClient()
  }

  /**
   * Takes a connection back.
   * @param client from `acquire`
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

  /** Closes all connections, those with open requests too. */
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

  /** The connection counts until its socket is closed, so that a new one can't exceed the limit. */
  private closeClient (client: Client): void {
    const removeClient = (): void => { this.openClients.delete(client) }
    client.destroy().then(removeClient, removeClient)
  }
}
