/**
 * Claims shares of the quotas for this VM, and knows which of them are its own.
 *
 * Guards against two VMs that give out the same part of a quota: the store lets one
 * claim a share at a time, and a claim ends with the lease of the VM's record. A VM
 * that is cut off from the store stops when its lease may have ended, and another
 * can only come after it has.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { runDetached } from '@umberspar/base/common/detached'
import type { ElapsedClock } from '@umberspar/base/common/elapsedClock'
import { ErrorCode } from '@umberspar/base/common/errors'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import type { EntryView, ShareClaim } from '@umberspar/steering/common/entry/entryView'
import type { EntryNode } from '@umberspar/steering/common/entry/records'
import type { INodeRegistration } from '@umberspar/steering/common/ports/steeringSource'
import type { QuotaBuckets } from '@umberspar/steering/common/quota/quotaBuckets'
import { listShares, planClaims, type QuotaShare, type RegionByDomain } from '@umberspar/steering/common/quota/quotaShares'

/** Changes of VMs and shares that come together are looked at together, in milliseconds. */
const GATHER_MS = 50
/** While a share is free, it is looked at so often, in milliseconds. */
const LOOK_MS = 500
/** Records that are older may have missed a claim that came and went, which takes a lease's time, in milliseconds. */
const MOST_FREE_MS = 2_000

/** What it is built from. */
export interface ClaimerParts {
  readonly clock: IClock
  readonly elapsed: ElapsedClock
  readonly logger: ILogger
  readonly view: EntryView
  readonly self: EntryNode
  /** Tells this process from others of the same VM. */
  readonly life: string
  readonly regionOf: RegionByDomain
  readonly registration: INodeRegistration
  readonly buckets: QuotaBuckets
  /** When this process began, on the clock that counts suspensions. */
  readonly startedAt: Instant
  isLeaving(): boolean
}

/** The claims of one process. */
export class ShareClaimer implements IClosable {
  private readonly shares: readonly QuotaShare[]
  /** The tenure of each claim of this VM. */
  private readonly tenures = new Map<string, number>()
  /** Since when each share is known to be free, on the clock that counts suspensions. */
  private readonly freeSince = new Map<string, Instant>()
  private readonly claiming = new Set<string>()
  private timer: ITimer | undefined

  /** @param parts what it is built from */
  constructor (private readonly parts: ClaimerParts) {
    this.shares = listShares(parts.regionOf)
  }

  /** @returns how many shares this VM keeps */
  countKept (): number {
    return this.shares.filter(({ name }) => this.isKept(name)).length
  }

  /**
   * @param share a share
   * @returns whether this VM is surely its only keeper at this moment
   */
  isKept (share: string): boolean {
    const { registration, elapsed, isLeaving } = this.parts
    const { tenure } = registration
    return tenure !== undefined && !isLeaving() && this.tenures.get(share) === tenure.id && elapsed.now() < tenure.until
  }

  /** Takes over that VMs, shares or accounts have changed. */
  handleChange (): void {
    this.scheduleUpdate(GATHER_MS)
  }

  /** Claims nothing more. */
  close (): void {
    this.timer?.close()
    this.timer = undefined
  }

  private scheduleUpdate (pauseMs: number): void {
    const { clock } = this.parts
    this.timer ??= clock.schedule(clock.now() + pauseMs, () => {
      this.timer = undefined
      this.update()
    })
  }

  private update (): void {
    const { view, self, regionOf, buckets, registration, isLeaving } = this.parts
    if (!buckets.hasQuotas || isLeaving()) return
    if (registration.tenure === undefined) return this.scheduleUpdate(GATHER_MS)
    const nodes = [...view.nodes.values()]
    for (const share of this.shares) {
      const delayMs = planClaims(share, nodes, regionOf).get(self.name)
      if (delayMs !== undefined) this.checkShare(share.name, delayMs)
    }
  }

  private checkShare (share: string, delayMs: number): void {
    const claim = this.parts.view.shares.get(share)
    // This VM's own claim may not have come back with the records yet.
    const isTaken = claim === undefined ? this.isKept(share) : !this.isReplaceable(share, claim)
    if (isTaken) {
      this.freeSince.delete(share)
      return
    }
    const now = this.parts.elapsed.now()
    const freeSince = this.freeSince.get(share) ?? now
    this.freeSince.set(share, freeSince)
    const isDue = claim !== undefined || now >= freeSince + delayMs
    if (isDue && !this.claiming.has(share)) runDetached(() => this.claim(share, claim?.revision ?? 0), this.parts.logger, 'claim-share')
    this.scheduleUpdate(LOOK_MS)
  }

  /** The claim of a former process of this VM, or of a former lease of this one: nobody gives anything under it any more. */
  private isReplaceable (share: string, { keeper }: ShareClaim): boolean {
    const { self, life, registration } = this.parts
    if (keeper.node !== self.name) return false
    return keeper.life !== life || this.tenures.get(share) !== registration.tenure?.id
  }

  /**
   * Since when nobody has given anything of the share: a former process of this VM ended
   * before this one began, and a share is free only after its keeper's lease has ended.
   */
  private readFilledSince (share: string): Instant {
    const { view, self, startedAt, elapsed } = this.parts
    const keeper = view.shares.get(share)?.keeper
    const isOwnFormer = keeper !== undefined && keeper.node === self.name && keeper.life !== this.parts.life
    if (isOwnFormer) return startedAt
    const now = elapsed.now()
    const freeSince = keeper === undefined ? this.freeSince.get(share) ?? now : now
    return Math.max(freeSince, now - MOST_FREE_MS)
  }

  private async claim (share: string, expectedRevision: number): Promise<void> {
    const { registration, self, life, logger, buckets } = this.parts
    if (registration.tenure === undefined) return
    this.claiming.add(share)
    const filledSince = this.readFilledSince(share)
    const claimed = await registration.claimShare({ share, node: self.name, life, peerAddress: self.peerAddress }, expectedRevision)
    this.claiming.delete(share)
    if (claimed.ok) {
      this.tenures.set(share, claimed.val)
      buckets.startShare(share, filledSince)
      logger.log(LogLevel.Info, { step: 'claim-share', share }, 'this VM keeps a share of the quotas')
    } else if (claimed.val.code !== ErrorCode.Conflict) logError(logger, LogLevel.Warn, claimed.val)
  }
}
