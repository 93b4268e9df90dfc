/** What is known about one caller's request before it is sent to an upstream. */
import type { Deadline } from '@umberspar/base/common/deadline'
import type { RouteConfiguration, ServiceConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'

/** One caller's request. */
export interface RequestContext {
  readonly requestId: string
  readonly service: string
  readonly settings: ServiceConfiguration
  readonly route: RouteConfiguration
  readonly isIdempotent: boolean
  /** Maximum number of attempts, including the first. */
  readonly maxAttempts: number
  readonly method: string
  /** Path and query after the service's prefix, beginning with `/`. */
  readonly path: string
  readonly clientRegion: string
  readonly deadline: Deadline
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal
}
