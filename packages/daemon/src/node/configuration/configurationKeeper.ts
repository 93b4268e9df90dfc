/**
 * Holds the configuration in force at this node. It never goes to a lower
 * version, whatever the store, a watch or a peer offers.
 */
import type { IClosable } from '@umberspar/base/common/closing'
import { Emitter } from '@umberspar/base/common/event'
import { type ILogger, LogLevel } from '@umberspar/base/common/logger'
import { shouldAdopt, type ConfigurationHead, type VersionedConfiguration } from '@umberspar/steering/common/configuration/versionedConfiguration'
import { validateConfiguration } from '@umberspar/steering/common/configuration/validateConfiguration'
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

/** The configuration in force, and the event of its change. */
export class ConfigurationKeeper implements IClosable {
  private readonly didAdopt = new Emitter<VersionedConfiguration>()
  private inForce: VersionedConfiguration | undefined
  private inForceText = ''

  /** Fires after a higher version is in force. */
  readonly onDidAdopt = this.didAdopt.event

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

  /** @returns what peers and the store get, or undefined before the first */
  get currentText (): ConfigurationText | undefined {
    return this.inForce === undefined ? undefined : { head: this.inForce.head, text: this.inForceText }
  }

  /**
   * Puts an offered configuration in force if it is newer and intact.
   * @param offer what the store or a peer showed
   * @param source the peer or store it came from, for the log
   * @returns whether it is in force now
   */
  apply (offer: ConfigurationText, source: string): AdoptResult {
    if (!shouldAdopt(this.version, offer.head.version)) return AdoptResult.NotNewer
    // A body assembled from chunks of two writers, or cut off on its way, would
    // steer by rules nobody accepted; its digest differs from the head's.
    if (this.digester.computeDigest(offer.text) !== offer.head.digest) return this.refuseDamaged(offer, source, 'the digest differs')
    const body = validateConfiguration(JSON.parse(offer.text))
    if (!body.ok) return this.refuseDamaged(offer, source, body.val.map((problem) => `${problem.path}: ${problem.message}`).join('; '))
    this.inForce = { head: offer.head, body: body.val }
    this.inForceText = offer.text
    this.logger.log(LogLevel.Info, { step: 'adopt-configuration', peer: source, version: offer.head.version }, 'configuration is in force')
    this.didAdopt.fire(this.inForce)
    return AdoptResult.Adopted
  }

  close (): void {
    this.didAdopt.close()
  }

  private refuseDamaged (offer: ConfigurationText, source: string, reason: string): AdoptResult {
    this.logger.log(LogLevel.Error, { step: 'adopt-configuration', peer: source, version: offer.head.version }, `configuration refused: ${reason}`)
    return AdoptResult.Damaged
  }
}
