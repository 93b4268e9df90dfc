/**
 * Holds the configuration in force at this node. It never goes to a lower
 * version, whatever the store, a watch or a peer offers.
 */
import type { IClosable } from '@umberspar/base/common/closing'
import type { Instant } from '@umberspar/base/common/clock'
import { Emitter } from '@umberspar/base/common/event'
import { type ILogger, LogLevel } from '@umberspar/base/common/logger'
import { shouldAdopt, type ConfigurationHead, type VersionedConfiguration } from '@umberspar/steering/common/configuration/versionedConfiguration'
import { validateConfiguration } from '@umberspar/steering/common/configuration/validateConfiguration'
import type { PushRoute } from '@umberspar/steering/common/spread/pushTree'
import type { Digester } from '@umberspar/steering/common/configuration/canonicalJson'

/** Why an offered configuration was or was not put in force. */
export enum AdoptResult {
  Adopted = 'adopted',
  /** The version in force is the same or higher. */
  NotNewer = 'not-newer',
  /** The body does not match its digest or breaks the schema. */
  Damaged = 'damaged'
}

/** A configuration as stored and sent: the head and the canonical JSON text of the body. */
export interface ConfigurationText {
  readonly head: ConfigurationHead
  readonly text: string
}

/** By which way a configuration came. */
export enum LearnSource {
  /** This node read it from the store. */
  Store = 'store',
  /** An operator's patch was accepted here. */
  Operator = 'operator',
  /** A peer pushed it. */
  Push = 'push',
  /** A comparison of digests showed that a peer is ahead. */
  Digest = 'digest'
}

/** By which way a configuration came, and how a push goes on. */
export type LearnOrigin =
  | { readonly source: LearnSource.Push, readonly route: PushRoute | undefined }
  | { readonly source: Exclude<LearnSource, LearnSource.Push> }

/** A configuration that was just put in force. */
export interface LearnedConfiguration {
  readonly configuration: ConfigurationText
  readonly origin: LearnOrigin
}

/** The configuration in force, and the events of its change. */
export class ConfigurationKeeper implements IClosable {
  private readonly didAdopt = new Emitter<VersionedConfiguration>()
  private inForce: VersionedConfiguration | undefined
  private inForceText = ''
  private seenVersion = 0
  private aheadSeenAt: Instant | undefined
  private storeConfirmedAt: Instant | undefined
  private readonly didLearn = new Emitter<LearnedConfiguration>()

  /** Fires after a higher version is in force. */
  readonly onDidAdopt = this.didAdopt.event
  /** Fires after `onDidAdopt`, with the way by which the version came. */
  readonly onDidLearn = this.didLearn.event

  constructor (
    private readonly digester: Digester,
    private readonly logger: ILogger
  ) {}

  /** @returns the configuration in force, or undefined before the first */
  get current (): VersionedConfiguration | undefined {
    return this.inForce
  }

  /** @returns the version in force, 0 before the first */
  get version (): number {
    return this.inForce?.head.version ?? 0
  }

  /** @returns the highest version that the store or any peer has shown, in force here or not */
  get highestSeen (): number {
    return Math.max(this.seenVersion, this.version)
  }

  /** @returns when a peer was last seen to have a higher version than this node had then */
  get lastAheadSeenAt (): Instant | undefined {
    return this.aheadSeenAt
  }

  /** @returns when a read of the store, by whichever node, last showed no higher version than the one in force here */
  get confirmedAt (): Instant | undefined {
    return this.storeConfirmedAt
  }

  /**
   * Takes in which version a peer has.
   * @param version the peer's version
   * @param confirmedAt when a read of the store confirmed it
   * @param now the present
   */
  observePeer (version: number, confirmedAt: Instant | undefined, now: Instant): void {
    if (version > this.version) this.aheadSeenAt = now
    this.seenVersion = Math.max(this.seenVersion, version)
    if (confirmedAt !== undefined && version <= this.version) this.recordConfirmed(version, confirmedAt)
  }

  /**
   * Takes in that the store's newest version was no higher than the one in force.
   * @param version what the store showed
   * @param at when
   */
  recordConfirmed (version: number, at: Instant): void {
    this.seenVersion = Math.max(this.seenVersion, version)
    if (version <= this.version && at > (this.storeConfirmedAt ?? -Infinity)) this.storeConfirmedAt = at
  }

  /** @returns what peers and the store get, or undefined before the first */
  get currentText (): ConfigurationText | undefined {
    return this.inForce === undefined ? undefined : { head: this.inForce.head, text: this.inForceText }
  }

  /**
   * Puts an offered configuration in force if it is newer and intact.
   * @param offer what the store or a peer showed
   * @param peer the peer or store it came from, for the log
   * @param origin by which way it came
   * @returns whether it is in force now
   */
  apply (offer: ConfigurationText, peer: string, origin: LearnOrigin): AdoptResult {
    this.checkSameVersion(offer.head, peer)
    if (!shouldAdopt(this.version, offer.head.version)) return AdoptResult.NotNewer
    // A body assembled from chunks of two writers, or cut off on its way, would
    // steer by rules nobody accepted; its digest differs from the head's.
    if (this.digester.computeDigest(offer.text) !== offer.head.digest) return this.refuseDamaged(offer, peer, 'the digest differs')
    const body = validateConfiguration(JSON.parse(offer.text))
    if (!body.ok) return this.refuseDamaged(offer, peer, body.val.map((problem) => `${problem.path}: ${problem.message}`).join('; '))
    this.inForce = { head: offer.head, body: body.val }
    this.inForceText = offer.text
    this.logger.log(LogLevel.Info, { step: 'adopt-configuration', peer, version: offer.head.version, source: origin.source }, 'configuration is in force')
    this.didAdopt.fire(this.inForce)
    this.didLearn.fire({ configuration: offer, origin })
    return AdoptResult.Adopted
  }

  close (): void {
    this.didAdopt.close()
    this.didLearn.close()
  }

  /**
   * After a restore of the store from an old state a change accepted by a daemon
   * that knew of nothing higher may bear a number that is in force elsewhere. Both
   * stay where they are until a higher number replaces both; operators are told.
   */
  private checkSameVersion (head: ConfigurationHead, peer: string): void {
    const own = this.inForce?.head
    if (own === undefined || own.version !== head.version || own.changeId === head.changeId) return
    this.logger.log(LogLevel.Error, { step: 'adopt-configuration', peer, version: head.version, changeId: head.changeId }, 'two changes bear one version; submit a patch to replace both')
  }

  private refuseDamaged (offer: ConfigurationText, peer: string, reason: string): AdoptResult {
    this.logger.log(LogLevel.Error, { step: 'adopt-configuration', peer, version: offer.head.version }, `configuration refused: ${reason}`)
    return AdoptResult.Damaged
  }
}
