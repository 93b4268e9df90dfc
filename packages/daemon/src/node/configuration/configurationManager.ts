/**
 * Holds the configuration in force on this node. Its version never decreases,
 * whatever the store, a watch or a peer offers.
 */
import type { IClosable } from '@umberspar/base/common/closing'
import type { Instant } from '@umberspar/base/common/clock'
import { Emitter } from '@umberspar/base/common/event'
import { type ILogger, LogLevel } from '@umberspar/base/common/logger'
import { shouldAdopt, type ConfigurationHead, type VersionedConfiguration } from '@umberspar/steering/common/configuration/versionedConfiguration'
import { validateConfiguration } from '@umberspar/steering/common/configuration/validateConfiguration'
import type { PushRoute } from '@umberspar/steering/common/gossip/pushTree'
import type { Digester } from '@umberspar/steering/common/configuration/canonicalJson'

/** Whether an offered configuration was put in force. */
export enum AdoptResult {
  Adopted = 'adopted',
  /** The version in force is the same or newer. */
  NotNewer = 'not-newer',
  /** The body doesn't match its digest or the schema. */
  Damaged = 'damaged'
}

/** A serialized configuration as stored and sent: the head, and the body as canonical JSON text. */
export interface SerializedConfiguration {
  readonly head: ConfigurationHead
  readonly text: string
}

/** Where a configuration was received from. */
export enum ConfigurationSource {
  /** This node read it from the store. */
  Store = 'store',
  /** An operator's patch was accepted here. */
  Operator = 'operator',
  /** A peer pushed it. */
  Push = 'push',
  /** A digest exchange showed that a peer has a newer version. */
  Digest = 'digest'
}

/** Where a configuration was received from, and for a push the route on which it is forwarded. */
export type ConfigurationOrigin =
  | { readonly source: ConfigurationSource.Push, readonly route: PushRoute | undefined }
  | { readonly source: Exclude<ConfigurationSource, ConfigurationSource.Push> }

/** A configuration that was put in force, and its origin. */
export interface ReceivedConfiguration {
  readonly configuration: SerializedConfiguration
  readonly origin: ConfigurationOrigin
}

/** Holds the configuration in force and notifies of its changes. */
export class ConfigurationManager implements IClosable {
  private readonly didAdopt = new Emitter<VersionedConfiguration>()
  private inForce: VersionedConfiguration | undefined
  private inForceText = ''
  private reportedVersion = 0
  private peerAheadAt: Instant | undefined
  private storeConfirmedAt: Instant | undefined
  private readonly didReceive = new Emitter<ReceivedConfiguration>()

  /** Fires after a newer version was put in force. */
  readonly onDidAdopt = this.didAdopt.event
  /** Fires after `onDidAdopt`, with the origin of the version. */
  readonly onDidReceive = this.didReceive.event

  constructor (
    private readonly digester: Digester,
    private readonly logger: ILogger
  ) {}

  /** @returns the configuration in force, or undefined if there is none yet */
  get current (): VersionedConfiguration | undefined {
    return this.inForce
  }

  /** @returns the version in force, or 0 if there is none yet */
  get version (): number {
    return this.inForce?.head.version ?? 0
  }

  /** @returns the highest version that the store or any peer has reported, whether or not it is in force here */
  get highestReportedVersion (): number {
    return Math.max(this.reportedVersion, this.version)
  }

  /** @returns when a peer last reported a newer version than this node had at that time */
  get lastPeerAheadAt (): Instant | undefined {
    return this.peerAheadAt
  }

  /** @returns when any node last read the store and found no newer version than the one in force here */
  get confirmedAt (): Instant | undefined {
    return this.storeConfirmedAt
  }

  /**
   * Records the version that a peer reports.
   * @param version the peer's version
   * @param confirmedAt when a read of the store confirmed that version
   * @param now the current time
   */
  observePeer (version: number, confirmedAt: Instant | undefined, now: Instant): void {
    if (version > this.version) this.peerAheadAt = now
    this.reportedVersion = Math.max(this.reportedVersion, version)
    if (confirmedAt !== undefined && version <= this.version) this.recordConfirmed(version, confirmedAt)
  }

  /**
   * Records that the store's newest version was not newer than the one in force.
   * @param version the store's version
   * @param at when the store was read
   */
  recordConfirmed (version: number, at: Instant): void {
    this.reportedVersion = Math.max(this.reportedVersion, version)
    if (version <= this.version && at > (this.storeConfirmedAt ?? -Infinity)) this.storeConfirmedAt = at
  }

  /** @returns the serialized configuration in force, or undefined if there is none yet */
  get currentText (): SerializedConfiguration | undefined {
    return this.inForce === undefined ? undefined : { head: this.inForce.head, text: this.inForceText }
  }

  /**
   * Puts an offered configuration in force if it is newer and valid.
   * @param offer the configuration from the store or a peer
   * @param peer the peer or store that it came from, for the log
   * @param origin where it was received from
   * @returns whether it was put in force
   */
  apply (offer: SerializedConfiguration, peer: string, origin: ConfigurationOrigin): AdoptResult {
    this.checkSameVersion(offer.head, peer)
    if (!shouldAdopt(this.version, offer.head.version)) return AdoptResult.NotNewer
    // A truncated body, or one assembled from chunks of two writers, would be a
    // configuration that nobody accepted. Its digest differs from the head's.
    if (this.digester.computeDigest(offer.text) !== offer.head.digest) return this.refuseInvalid(offer, peer, 'the digest does not match')
    const body = validateConfiguration(JSON.parse(offer.text))
    if (!body.ok) return this.refuseInvalid(offer, peer, body.val.map((problem) => `${problem.path}: ${problem.message}`).join('; '))
    this.inForce = { head: offer.head, body: body.val }
    this.inForceText = offer.text
    this.logger.log(LogLevel.Info, { step: 'adopt-configuration', peer, version: offer.head.version, source: origin.source }, 'configuration put in force')
    this.didAdopt.fire(this.inForce)
    this.didReceive.fire({ configuration: offer, origin })
    return AdoptResult.Adopted
  }

  close (): void {
    this.didAdopt.close()
    this.didReceive.close()
  }

  /**
   * Reports two different changes with the same version. This can happen after the
   * store was restored from a backup, if a daemon that knew of no newer version
   * accepted a change. Both stay in force where they are until a newer version
   * replaces them.
   */
  private checkSameVersion (head: ConfigurationHead, peer: string): void {
    const own = this.inForce?.head
    if (own === undefined || own.version !== head.version || own.changeId === head.changeId) return
    this.logger.log(LogLevel.Error, { step: 'adopt-configuration', peer, version: head.version, changeId: head.changeId }, 'two different changes have the same version; submit a patch to replace both')
  }

  private refuseInvalid (offer: SerializedConfiguration, peer: string, reason: string): AdoptResult {
    this.logger.log(LogLevel.Error, { step: 'adopt-configuration', peer, version: offer.head.version }, `configuration refused: ${reason}`)
    return AdoptResult.Damaged
  }
}
