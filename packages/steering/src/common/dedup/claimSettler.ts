/**
 * Writes the ends of claims to the store, and goes on trying while the store is
 * out of reach. Until an end is written, the store says `running`, which every
 * node refuses; a node that dies with unwritten ends leaves claims that are
 * refused as unknown. Neither ever lets a request run twice.
 */
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'
import { ErrorCode } from '@umberspar/base/common/errors'
import { addJitter, type IRandomSource } from '@umberspar/base/common/random'
import type { IKeyValueStore } from '../ports/keyValueStore.js'
import { type ClaimRecord, decodeClaim, encodeClaim } from './claimRecord.js'
import type { StoreCallBudget } from './storeCallBudget.js'

/** Ends that wait for the store; beyond this the oldest is given up, and its claim stays `running`. */
const MAX_PENDING = 10_000
/** How long one write may take, in milliseconds. */
const WRITE_SPAN = 2_000
/** The pause before ends that could not be written are tried again, in milliseconds. */
const PAUSE_SPAN = 1_000
const PAUSE_JITTER = 0.5
/** Ends tried in one round, so that a store that has come back is not flooded. */
const ROUND_SIZE = 32
/** A write and, if it was not applied or its answer was lost, a read. */
const CALLS_PER_TRY = 2
/** Writes in a row; a second one only if the store was read in between and said what it needs. */
const MAX_WRITES = 2

/** The end of a claim, on its way to the store. */
export interface ClaimEnd {
  readonly key: string
  /** The claim as it shall stand. */
  readonly record: ClaimRecord
  readonly leaseId: string
  /** The revision at which the claim is known to stand; 0 if it is not known to be there. */
  readonly modRevision: number
}

/** What the settler needs. */
export interface ClaimSettlerParts {
  readonly store: IKeyValueStore
  readonly clock: IClock
  readonly random: IRandomSource
  readonly calls: StoreCallBudget
  /** Told of every store call that is made. */
  readonly onCall: () => void
}

/** Ends of this node's claims that the store may not know yet. */
export class ClaimSettler {
  private readonly pending = new Map<string, ClaimEnd>()
  private readonly underWay = new Set<Promise<boolean>>()
  private timer: ITimer | undefined
  private isClosed = false

  constructor (private readonly parts: ClaimSettlerParts) {}

  /** @returns ends that are not written yet */
  get size (): number {
    return this.pending.size
  }

  /**
   * @param claimId of a claim of this process
   * @returns its end, if the store may not know it yet
   */
  find (claimId: string): ClaimRecord | undefined {
    return this.pending.get(claimId)?.record
  }

  /**
   * Writes an end now, and again later if that fails. The first write is paid
   * for by the claim; later ones wait for their part of the store's rate.
   * @param end the claim's end
   * @returns settled after the first try: whether the store is known to have the end
   */
  push (end: ClaimEnd): Promise<boolean> {
    const oldest = this.pending.keys().next()
    if (this.pending.size >= MAX_PENDING && oldest.done !== true) this.pending.delete(oldest.value)
    this.pending.set(end.record.claimId, end)
    return this.start(end, createDeadline(this.parts.clock.now(), WRITE_SPAN))
  }

  /**
   * Tries everything that is pending once more.
   * @param deadline by when to give up
   * @returns settled when all tries have ended
   */
  async settle (deadline: Deadline): Promise<void> {
    for (const end of [...this.pending.values()]) this.start(end, deadline)
    await Promise.all(this.underWay)
  }

  /** Stops trying; what is pending stays `running` in the store. */
  close (): void {
    this.isClosed = true
    this.timer?.close()
    this.pending.clear()
  }

  private start (end: ClaimEnd, deadline: Deadline): Promise<boolean> {
    const work = this.write(end, deadline).finally(() => { this.underWay.delete(work) })
    this.underWay.add(work)
    return work
  }

  private async write (end: ClaimEnd, deadline: Deadline): Promise<boolean> {
    const { claimId } = end.record
    let current = end
    for (let writes = 0; writes < MAX_WRITES; writes++) {
      if (await this.writeOnce(current, deadline)) {
        this.pending.delete(claimId)
        return true
      }
      const next = this.pending.get(claimId)
      // Nothing was learned: the store is out of reach, and is left alone for a while.
      if (next === undefined || next === current) break
      current = next
    }
    this.scheduleRound()
    return false
  }

  /** @returns whether the store knows the end, or can never need it */
  private async writeOnce (end: ClaimEnd, deadline: Deadline): Promise<boolean> {
    const { key, record, leaseId, modRevision } = end
    this.parts.onCall()
    const written = await this.parts.store.transact({
      conditions: [{ key, modRevision }],
      writes: [{ kind: 'put', key, value: encodeClaim(record), leaseId }]
    }, deadline)
    if (written.ok && written.val.isApplied) return true
    // The lease has lapsed and the claim with it: its retention is over.
    if (!written.ok && written.val.code === ErrorCode.NotFound) return true
    if (!written.ok && written.val.code !== ErrorCode.EffectUnknown) return false
    return await this.compareWithStore(end, deadline)
  }

  /** Settles a lost answer, or a claim that stands at another revision than was thought. */
  private async compareWithStore (end: ClaimEnd, deadline: Deadline): Promise<boolean> {
    this.parts.onCall()
    const read = await this.parts.store.get(end.key, deadline)
    if (!read.ok) return false
    const existing = read.val === undefined ? undefined : decodeClaim(read.val.value)
    const isOurs = existing?.claimId === end.record.claimId
    if (isOurs && existing.state === end.record.state) return true
    if (read.val !== undefined && !isOurs) return true
    // Ours, or not there: a create whose answer was lost can still arrive at the
    // store. Writing the end in its place makes its condition fail.
    this.pending.set(end.record.claimId, { ...end, modRevision: read.val?.modRevision ?? 0 })
    return false
  }

  private scheduleRound (): void {
    if (this.timer !== undefined || this.isClosed) return
    const { clock, random } = this.parts
    const at = createDeadline(clock.now(), addJitter(random, PAUSE_SPAN, PAUSE_JITTER))
    this.timer = clock.schedule(at, () => {
      this.timer = undefined
      this.runRound()
    })
  }

  private runRound (): void {
    const deadline = createDeadline(this.parts.clock.now(), WRITE_SPAN)
    for (const end of [...this.pending.values()].slice(0, ROUND_SIZE)) {
      if (!this.parts.calls.take(CALLS_PER_TRY)) break
      this.start(end, deadline)
    }
    if (this.pending.size > 0) this.scheduleRound()
  }
}
