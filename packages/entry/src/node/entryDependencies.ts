/** The services that an entry process is built from. */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import type { ElapsedClock } from '@umberspar/base/common/elapsedClock'
import type { ILogger } from '@umberspar/base/common/logger'
import type { IRandomSource } from '@umberspar/base/common/random'
import type { ICallerProtocol } from '@umberspar/steering/common/ports/callerProtocol'
import type { INodeRegistration, IRecordWriter, ISteeringSource } from '@umberspar/steering/common/ports/steeringSource'
import type { EntrySettings } from '../common/entrySettings.js'
import type { EntryMetrics } from './telemetry/entryMetrics.js'
import type { SocketOpener } from './upstream/upstreamPool.js'

/** The services that an entry process is built from. */
export interface EntryDependencies {
  readonly settings: EntrySettings
  readonly clock: IClock
  /** Also counts time for which the machine was suspended; the instants of the source are on this clock. */
  readonly elapsed: ElapsedClock
  readonly random: IRandomSource
  /** When the process started. */
  readonly startedAt: Instant
  readonly logger: ILogger
  readonly metrics: EntryMetrics
  readonly protocol: ICallerProtocol
  readonly source: ISteeringSource
  readonly registration: INodeRegistration
  /** Opens connections to workers; on the network by default. */
  readonly openWorkerSocket?: SocketOpener
  readonly writer: IRecordWriter
}
