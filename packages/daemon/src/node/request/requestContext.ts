/** What is known of one caller's request before it is sent anywhere. */
import type { Deadline } from '@umberspar/base/common/deadline'
import type { RouteConfiguration, ServiceConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'

/** One caller's request. */
export interface RequestContext {
  readonly requestId: string
  readonly service: string
  readonly settings: ServiceConfiguration
  readonly route: RouteConfiguration
  readonly isIdempotent: boolean
  /** Attempts that may be sent, the first included. */
  readonly maxAttempts: number
  readonly method: string
  /** Path and query below the service, beginning with `/`. */
  readonly path: string
  readonly clientRegion: string
  readonly deadline: Deadline
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal
}
