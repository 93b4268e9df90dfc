/**
 * Claims shares of the quotas for this VM, and tracks which ones it owns.
 *
 * Guards against two VMs that grant the same tokens: the store accepts one claim of a
 * share at a time, and a claim ends with the lease of the VM's record. A VM that is
 * disconnected from the store stops granting tokens when its lease may have ended, and
 * another VM can claim the share only after the lease has ended.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { runDetached } from '@umberspar/base/common/detached'
import type { ElapsedClock } from '@umberspar/base/common/elapsedClock'
import { ErrorCode } from '@umberspar/base/common/errors'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import type { ShareClaim } from '@umberspar/steering/common/entry/storedRecord'
import type { EntryNode } from '@umberspar/steering/common/entry/records'
import type { INodeRegistration } from '@umberspar/steering/common/ports/steeringSource'
import type { QuotaBucketTable } from '@umberspar/steering/common/quota/quotaBucketTable'
import { listShares, planClaims, type QuotaShare, type RegionByDomain } from '@umberspar/steering/common/quota/quotaShares'

/** Combines changes of VMs and shares that arrive together. */
const DEBOUNCE_MS = 50
/** How often a free share is checked. */
const RECHECK_INTERVAL_MS = 500
/**
 * A share counts as free for no longer than this: the records may have missed a claim that was
 * made and ended in the meantime, which takes the duration of a lease.
 */
const MAX_FREE_MS = 2_000

/** Dependencies of a {@link ShareClaimer}. */
export interface ShareClaimerDependencies {
  readonly clock: IClock
  readonly elapsed: ElapsedClock
  readonly logger: ILogger
  readonly view: EntryView
  readonly self: EntryNode
  /** Distinguishes this process from other ones of the same VM. */
  readonly life: string
  readonly regionByDomain: RegionByDomain
  readonly registration: INodeRegistration
  readonly buckets: QuotaBucketTable
  /** When this process started, on the {@link ElapsedClock}. */
  readonly startedAt: Instant
  isLeaving(): boolean
}

/** Claims shares for one process. */
export class ShareClaimer implements IClosable {
  private readonly shares: readonly QuotaShare[]
  /** The lease of each claim of this VM, by share. */
  private readonly leaseIds = new Map<string, number>()
  /** Since when each share is known to be free, on the {@link ElapsedClock}. */
  private readonly freeSince = new Map<string, Instant>()
  private readonly claiming = new Set<string>()
  /** Shares whose claim in the records may be one that the store has lost. */
  private readonly lostClaims = new Set<string>()
  private timer: ITimer | undefined

  constructor (private readonly dependencies: ShareClaimerDependencies) {
    this.shares = listShares(dependencies.regionByDomain)
  }

  /** @returns the number of shares that this VM owns */
  countOwned (): number {
    return this.shares.filter(({ name }) => this.isOwned(name)).length
  }

  /**
   * @param share a share
   * @returns whether this VM is certainly the only owner of the share at this moment
   */
  isOwned (share: string): boolean {
    const { registration, elapsed, isLeaving } = this.dependencies
    const leaseId = this.leaseIds.get(share)
    return leaseId !== undefined && !isLeaving() && elapsed.now() < registration.getLeaseEnd(leaseId)
  }

  /** Handles a change of VMs, shares or accounts. */
  handleChange (): void {
    this.scheduleUpdate(DEBOUNCE_MS)
  }

  /** Stops claiming shares. */
  close (): void {
    this.timer?.close()
    this.timer = undefined
  }

  private scheduleUpdate (delayMs: number): void {
    const { clock } = this.dependencies
    this.timer ??= clock.schedule(clock.now() + delayMs, () => {
      this.timer = undefined
      this.update()
    })
  }

  private update (): void {
    const { view, self, regionByDomain, buckets, registration, isLeaving } = this.dependencies
    if (!buckets.hasQuotas || isLeaving()) return
    if (registration.currentLease === undefined) return this.scheduleUpdate(DEBOUNCE_MS)
    const nodes = [...view.nodes.values()]
    for (const share of this.shares) {
      const delayMs = planClaims(share, nodes, regionByDomain).get(self.name)
      if (delayMs !== undefined) this.checkShare(share.name, delayMs)
    }
  }

  private checkShare (share: string, delayMs: number): void {
    const claim = this.dependencies.view.shares.get(share)
    // This VM's own claim may not have arrived with the records yet.
    const isTaken = claim === undefined ? this.isOwned(share) && this.isClaimedInEra(share) : !this.isReplaceable(share, claim)
    if (isTaken) {
      this.freeSince.delete(share)
      return
    }
    const now = this.dependencies.elapsed.now()
    const freeSince = this.freeSince.get(share) ?? now
    this.freeSince.set(share, freeSince)
    const isDue = claim !== undefined || now >= freeSince + delayMs
    const mayClaim = this.isOwned(share) || this.hasEarlierClaimEnded(claim)
    const expectedRevision = claim === undefined || this.lostClaims.has(share) ? 0 : claim.revision
    if (isDue && mayClaim && !this.claiming.has(share)) runDetached(() => this.claim(share, expectedRevision), this.dependencies.logger, 'claim-share')
    this.scheduleUpdate(RECHECK_INTERVAL_MS)
  }

  /** @returns whether the claim belongs to a previous process of this VM, or to a previous lease of this one, so that no VM grants tokens under it any more */
  private isReplaceable (share: string, { owner }: ShareClaim): boolean {
    const { self, life } = this.dependencies
    if (owner.node !== self.name) return false
    return owner.life !== life || !this.isClaimedInEra(share)
  }

  /** @returns whether this VM has claimed the share under its present lease */
  private isClaimedInEra (share: string): boolean {
    return this.leaseIds.get(share) === this.dependencies.registration.currentLease?.id
  }

  /**
   * Guards against a second owner after the store has come back from an older copy, which lacks the claim of an
   * owner that does not know this yet. Such an owner stops when its lease of the earlier era may have ended.
   */
  private hasEarlierClaimEnded (claim: ShareClaim | undefined): boolean {
    const { registration, view, elapsed } = this.dependencies
    const era = registration.currentLease?.era
    if (claim !== undefined && claim.owner.era === era) return true
    // Until all VMs have registered in this era, or their leases have ended, some may know the earlier one only.
    const isEarlier = ({ era: other }: { readonly era?: number | undefined }): boolean => other !== undefined && era !== undefined && other < era
    return elapsed.now() >= registration.earlierLeasesEndAt && ![...view.nodes.values()].some(isEarlier)
  }

  /**
   * Determines since when no VM has granted tokens of the share: a previous process of this
   * VM ended before this one started, and a share is free only after its owner's lease has ended.
   * @returns an instant on the {@link ElapsedClock}
   */
  private computeUnusedSince (share: string): Instant {
    const { view, self, startedAt, elapsed } = this.dependencies
    const owner = view.shares.get(share)?.owner
    const isPreviousProcess = owner !== undefined && owner.node === self.name && owner.life !== this.dependencies.life
    if (isPreviousProcess) return startedAt
    const now = elapsed.now()
    const freeSince = owner === undefined ? this.freeSince.get(share) ?? now : now
    return Math.max(freeSince, now - MAX_FREE_MS)
  }

  private async claim (share: string, expectedRevision: number): Promise<void> {
    const { registration, self, life, logger, buckets } = this.dependencies
    if (registration.currentLease === undefined) return
    this.claiming.add(share)
    const unusedSince = this.computeUnusedSince(share)
    const claimed = await registration.claimShare({ share, node: self.name, life, peerAddress: self.peerAddress, era: registration.currentLease.era }, expectedRevision)
    this.claiming.delete(share)
    if (claimed.ok) {
      // An owner that claims its share again after the store went back goes on with its buckets.
      if (!this.isOwned(share)) buckets.startShare(share, unusedSince)
      this.lostClaims.delete(share)
      this.leaseIds.set(share, claimed.val)
      logger.log(LogLevel.Info, { step: 'claim-share', share }, 'claimed a share of the quotas')
      return
    }
    if (claimed.val.code !== ErrorCode.Conflict) logError(logger, LogLevel.Warn, claimed.val)
    else if (expectedRevision === 0) this.lostClaims.delete(share)
    else this.lostClaims.add(share)
  }
}
