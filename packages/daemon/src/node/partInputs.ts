/** Settings and services from which a daemon's parts are created. */
import type { IClock } from '@umberspar/base/common/clock'
import type { ILogger } from '@umberspar/base/common/logger'
import type { IMetrics } from '@umberspar/base/common/metrics'
import type { IRandomSource } from '@umberspar/base/common/random'
import type { DaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import type { Digester } from '@umberspar/steering/common/configuration/canonicalJson'
import type { AdmissionPolicy } from './places/admissionQueue.js'
import type { DaemonTls } from './tls/daemonTls.js'

/** Settings and services shared by a daemon's parts. */
export interface PartInputs {
  readonly settings: DaemonSettings
  readonly digester: Digester
  readonly logger: ILogger
  readonly metrics: IMetrics
  readonly clock: IClock
  readonly random: IRandomSource
  readonly admission?: AdmissionPolicy | undefined
  /** Certificates of the sides that use TLS. */
  readonly tls: DaemonTls
}
