/** The connection pools of all workers, one for each start of a worker. */
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { UpstreamEntry } from '@umberspar/steering/common/entry/records'
import { splitAddress } from '../address.js'
import { IdleLimit } from './idleLimit.js'
import type { EchoRule } from './upstreamConnection.js'
import { UpstreamPool } from './upstreamPool.js'

/** Pools by worker id: a new worker at an old address gets new connections. */
export class UpstreamPools implements IClosable {
  /** Shared by all workers: those of a service forget connections alike. */
  readonly idleLimit = new IdleLimit()
  private readonly pools = new Map<string, UpstreamPool>()

  /**
   * @param rule how answers are matched to requests
   * @param clock for time limits
   */
  constructor (private readonly rule: EchoRule, private readonly clock: IClock) {}

  /**
   * @param entry a worker
   * @returns its connections
   */
  read (entry: UpstreamEntry): UpstreamPool {
    let pool = this.pools.get(entry.id)
    const { host, port } = splitAddress(entry.address)
    if (pool === undefined || !pool.isFor(host, port)) {
      pool?.close()
      pool = new UpstreamPool(host, port, this.rule, this.idleLimit, this.clock)
      this.pools.set(entry.id, pool)
    }
    return pool
  }

  /** @param workerId a worker that takes no more requests; its open ones go on */
  remove (workerId: string): void {
    this.pools.get(workerId)?.close()
    this.pools.delete(workerId)
  }

  /** Ends idle connections; the others end with their answers. */
  close (): void {
    for (const workerId of [...this.pools.keys()]) this.remove(workerId)
  }
}
