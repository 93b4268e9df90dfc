/** A configuration with its number and the identity of the change that made it. */
import type { SteeringConfiguration } from './configurationSchema.js'

/** What `config/head` in the store holds, and what nodes compare. */
export interface ConfigurationHead {
  /** Grows by one with every accepted patch; 0 means none yet. */
  readonly version: number
  /** Random; tells whose write took effect when an answer was lost. */
  readonly changeId: string
  /** xxHash64 of the canonical JSON body, in hexadecimal. */
  readonly digest: string
}

/** A configuration in force. */
export interface VersionedConfiguration {
  readonly head: ConfigurationHead
  readonly body: SteeringConfiguration
}

/**
 * The one rule of adoption: only a higher version replaces what is in force.
 * @param current the version in force, 0 for none
 * @param offered the version offered
 * @returns whether to adopt the offer
 */
export function shouldAdopt (current: number, offered: number): boolean {
  return offered > current
}
