/** The connection pools of all workers. */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { UpstreamRegistration } from '@umberspar/steering/common/entry/records'
import { splitAddress } from '../address.js'
import { IdleLimit } from './idleLimit.js'
import type { ResponseHead } from './responseParser.js'
import type { EchoRule } from './upstreamConnection.js'
import { type SocketOpener, UpstreamPool } from './upstreamPool.js'

/** Receives the head of every response of every worker. */
export interface IResponseObserver {
  /**
   * @param worker the worker as registered when its pool was created
   * @param head the head of a response on a connection to it
   */
  handleResponseHead(worker: UpstreamRegistration, head: ResponseHead): void
}

/** One pool for each worker id and address. A new worker at the address of a previous one gets new connections. */
export class UpstreamPools implements IClosable {
  /** Shared by all workers, as the workers of a service drop idle connections after the same time. */
  readonly idleLimit: IdleLimit
  private readonly pools = new Map<string, UpstreamPool>()

  /**
   * @param rule how responses are matched to requests
   * @param clock for timeouts
   * @param observer receives the heads of responses
   * @param openSocket opens the connections
   * @param maxSilenceMs how long after a connection fell silent requests may still be sent on it, in milliseconds
   */
  constructor (
    private readonly rule: EchoRule,
    private readonly clock: IClock,
    private readonly observer: IResponseObserver,
    private readonly openSocket: SocketOpener,
    maxSilenceMs: number
  ) {
    this.idleLimit = new IdleLimit(maxSilenceMs)
  }

  /**
   * @param entry a worker
   * @returns the connection pool of the worker
   */
  getPool (entry: UpstreamRegistration): UpstreamPool {
    let pool = this.pools.get(entry.id)
    const { host, port } = splitAddress(entry.address)
    if (pool === undefined || !pool.isFor(host, port)) {
      pool?.close()
      pool = new UpstreamPool(host, port, this.rule, (head) => { this.observer.handleResponseHead(entry, head) }, this.idleLimit, this.clock, this.openSocket)
      this.pools.set(entry.id, pool)
    }
    return pool
  }

  /**
   * @param workerId a worker
   * @returns whether a request can be sent to it without opening a connection
   */
  hasIdle (workerId: string): boolean {
    return this.pools.get(workerId)?.hasIdle() === true
  }

  /**
   * @param workerId a worker
   * @returns whether a connection to it is open, idle or in use
   */
  hasOpen (workerId: string): boolean {
    return this.pools.get(workerId)?.hasOpen() === true
  }

  /**
   * Closes the idle connections to a worker that have been idle since before an instant.
   * @param workerId a worker
   */
  closeSilent (workerId: string, idleSince: Instant): void {
    this.pools.get(workerId)?.closeIdle(idleSince)
  }

  /** @param workerId a worker that receives no more requests; its open requests continue */
  remove (workerId: string): void {
    this.pools.get(workerId)?.close()
    this.pools.delete(workerId)
  }

  /** Closes idle connections now, and the others after their responses. */
  close (): void {
    for (const workerId of [...this.pools.keys()]) this.remove(workerId)
  }
}
