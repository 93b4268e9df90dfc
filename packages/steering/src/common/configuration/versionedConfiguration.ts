/** A configuration with its version number and the id of the change that created it. */
import type { SteeringConfiguration } from './configurationSchema.js'

/** The content of `config/head` in the store, which nodes compare. */
export interface ConfigurationHead {
  /** Increases by one with every accepted patch; 0 means that there is no configuration yet. */
  readonly version: number
  /** A random id; shows whose write took effect when the response to a write was lost. */
  readonly changeId: string
  /** xxHash64 of the canonical JSON body, in hexadecimal. */
  readonly digest: string
}

/** A configuration and its head. */
export interface VersionedConfiguration {
  readonly head: ConfigurationHead
  readonly body: SteeringConfiguration
}

/**
 * Decides whether to adopt a version: only a higher version replaces the current one.
 * @param current the current version; 0 if there is none
 * @param offered the offered version
 * @returns whether to adopt the offered version
 */
export function shouldAdopt (current: number, offered: number): boolean {
  return offered > current
}
