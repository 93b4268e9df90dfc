/** What the gauges of an entry process show, read when the metrics are fetched. */
import type { IClock } from '@umberspar/base/common/clock'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import type { BeliefKeeper } from '../beliefs/beliefKeeper.js'
import type { RecordFollower } from '../beliefs/recordFollower.js'
import type { FrontServer } from '../front/frontServer.js'
import type { RequestQuarantine } from '../quarantine/requestQuarantine.js'
import type { AccountQuotas } from '../quota/accountQuotas.js'
import type { GaugeSource } from './entryMetrics.js'

/** Stands for an age that is not known, since gauges have no gaps. */
const UNKNOWN_AGE = -1
const MS_PER_SECOND = 1_000

/** What is read. */
export interface GaugeParts {
  readonly clock: IClock
  readonly view: EntryView
  readonly keeper: BeliefKeeper
  readonly follower: RecordFollower
  readonly quotas: AccountQuotas
  readonly quarantine: RequestQuarantine
  readonly front: FrontServer
  isReady(): boolean
}

function toSeconds (ageMs: number): number {
  return Number.isFinite(ageMs) ? ageMs / MS_PER_SECOND : UNKNOWN_AGE
}

/** The gauges of one process. */
export class EntryGauges implements GaugeSource {
  /** @param parts what is read */
  constructor (private readonly parts: GaugeParts) {}

  readRepeatsLeft (): Array<readonly [string, number]> {
    const now = this.parts.clock.now()
    return [...this.parts.view.listRepeats()].map(([service, window]) => [service, window.countLeft(now)] as const)
  }

  readGauges (): Readonly<Record<string, number>> {
    const { view, keeper, follower, quotas, quarantine, front, isReady } = this.parts
    const { quarantined, suspects } = quarantine.readCounts()
    const { ageMs, revision } = keeper.getRecordsAge()
    return {
      requests_open: front.openRequests,
      records_age_seconds: toSeconds(ageMs),
      records_proof_age_seconds: toSeconds(follower.proof.getAgeMs()),
      records_revision: revision,
      configuration_version: view.document?.version ?? 0,
      entry_vms_known: view.countNodes(),
      workers_known: [...view.listTrackers()].length,
      workers_rate_limited: [...view.listTrackers()].filter(({ rateLimit }) => rateLimit !== undefined).length,
      domains_evacuated: view.evacuated.size,
      quota_shares_kept: quotas.countKept(),
      requests_quarantined: quarantined,
      requests_suspected: suspects,
      follows_store: Number(follower.isFollowing),
      record_sources: follower.countSources(),
      record_listeners: follower.teller.countListeners(),
      record_waiting_bytes: follower.teller.countWaitingBytes(),
      record_hops: (follower.via?.length ?? 0) - 1,
      ready: Number(isReady())
    }
  }
}
