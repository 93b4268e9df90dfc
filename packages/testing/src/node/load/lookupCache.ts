/** A caller's look-ups: asked of any entry VM and cached as long as the answer says. */
import type { IClock } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import { createDeadline, hasPassed } from '@umberspar/base/common/deadline'
import type { IRandomSource } from '@umberspar/base/common/random'
import type { LookupAnswer } from '@umberspar/steering/common/lookup/decideLookup'
import { chooseWeighted } from '../../common/load/arrivals.js'

/** Sends one look-up; rejects if the entry does not answer. */
export type LookupFetcher = (entryAddress: string, service: string) => Promise<LookupAnswer>

interface CachedLookup {
  readonly answer: LookupAnswer
  readonly staleAt: Deadline
}

const MAX_LOOKUP_TRIES = 4

/** Look-ups of one caller. */
export class LookupCache {
  private readonly cached = new Map<string, CachedLookup>()
  private readonly pending = new Map<string, Promise<LookupAnswer>>()

  /**
   * @param clock decides when an answer is stale
   * @param random chooses the entry to ask
   * @param bootstrapAddresses the entries a caller knows from its own settings
   * @param fetchLookup sends a look-up
   */
  constructor (
    private readonly clock: IClock,
    private readonly random: IRandomSource,
    private readonly bootstrapAddresses: readonly string[],
    private readonly fetchLookup: LookupFetcher
  ) {}

  /**
   * @param service the service to call
   * @returns an answer that is not stale; rejects if several entries failed to give one
   */
  async find (service: string): Promise<LookupAnswer> {
    const known = this.cached.get(service)
    if (known !== undefined && !hasPassed(known.staleAt, this.clock.now())) return known.answer
    const running = this.pending.get(service) ?? this.startFetch(service)
    return running
  }

  /**
   * Forgets an answer, so that the next request asks anew.
   * @param service the service whose entries failed
   */
  clear (service: string): void {
    this.cached.delete(service)
  }

  private startFetch (service: string): Promise<LookupAnswer> {
    const running = this.fetchFromAny(service).finally(() => this.pending.delete(service))
    this.pending.set(service, running)
    return running
  }

  private async fetchFromAny (service: string): Promise<LookupAnswer> {
    let failure: unknown
    for (let tries = 0; tries < MAX_LOOKUP_TRIES; tries += 1) {
      const address = chooseWeighted(this.random, this.bootstrapAddresses, () => 1)
      const askedAt = this.clock.now()
      try {
        const answer = await this.fetchLookup(address, service)
        // The span counts from before the question, so an answer that was long on the way is not kept longer.
        this.cached.set(service, { answer, staleAt: createDeadline(askedAt, answer.cacheForMs) })
        return answer
      } catch (thrown) {
        failure = thrown
      }
    }
    throw failure
  }
}

/**
 * @param random the source
 * @param answer a look-up's answer
 * @param failed addresses that just failed; taken only if there is no other
 * @returns the address of an entry, by weight; undefined if the answer names none
 */
export function chooseEntry (random: IRandomSource, answer: LookupAnswer, failed: ReadonlySet<string>): string | undefined {
  const untried = answer.entries.filter(({ address }) => !failed.has(address))
  const candidates = untried.length > 0 ? untried : answer.entries
  if (candidates.length === 0) return undefined
  return chooseWeighted(random, candidates, ({ weight }) => weight).address
}
