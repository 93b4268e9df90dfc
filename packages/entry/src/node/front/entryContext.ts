/** What the parts of an entry process share. */
import type { IClock } from '@umberspar/base/common/clock'
import type { IRandomSource } from '@umberspar/base/common/random'
import type { ByteCosts } from '@umberspar/steering/common/entry/chooseUpstream'
import type { DomainDistances } from '@umberspar/steering/common/entry/domainDistances'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import type { ICallerProtocol } from '@umberspar/steering/common/ports/callerProtocol'
import type { AccessGate } from '../accounts/accessGate.js'
import type { RecordsAge } from '../beliefs/recordsAge.js'
import type { RequestQuarantine } from '../quarantine/requestQuarantine.js'
import type { AccountQuotas } from '../quota/accountQuotas.js'
import type { EntryTelemetry } from '../telemetry/entryTelemetry.js'
import type { UpstreamPools } from '../upstream/upstreamPools.js'
import type { BodyRoom } from './bodyReader.js'
import type { RequestHeads } from './requestHead.js'

/** The shared parts of one process. */
export interface EntryContext {
  readonly clock: IClock
  readonly random: IRandomSource
  readonly protocol: ICallerProtocol
  readonly heads: RequestHeads
  readonly view: EntryView
  readonly gate: AccessGate
  readonly quotas: AccountQuotas
  readonly quarantine: RequestQuarantine
  readonly distances: DomainDistances
  readonly pools: UpstreamPools
  readonly bodyRoom: BodyRoom
  readonly byteCosts: ByteCosts
  readonly telemetry: EntryTelemetry
  getRecordsAge(): RecordsAge
  /** Whether the process was told to stop. */
  isLeaving(): boolean
}
