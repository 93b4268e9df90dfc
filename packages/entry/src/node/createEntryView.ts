/** Creates the view of an entry process from its settings. */
import type { Instant } from '@umberspar/base/common/clock'
import type { DomainRoundTrips } from '@umberspar/steering/common/entry/placement/domainRoundTrips'
import { EntryView } from '@umberspar/steering/common/entry/entryView'
import type { EntrySettings } from '../common/entrySettings.js'
import type { EntryTelemetry } from './telemetry/entryTelemetry.js'
import { logRateDivision } from './telemetry/logRateDivision.js'

/**
 * @param settings the settings of the process
 * @param regionByDomain the region of each failure domain
 * @param roundTrips the round trip times to the failure domains
 * @param startedAt when the process started
 * @param mayShare whether this VM may spend its parts of limits that are counted in a window of this length, in milliseconds
 * @param telemetry logs this VM's parts of rate limits
 * @returns a view without records
 */
export function createEntryView (settings: EntrySettings, regionByDomain: ReadonlyMap<string, string>, roundTrips: DomainRoundTrips, startedAt: Instant, mayShare: (windowMs: number) => boolean, { logger }: Pick<EntryTelemetry, 'logger'>): EntryView {
  return new EntryView({
    node: settings.node,
    domain: settings.domain,
    regionByDomain,
    roundTrips,
    coldTolerance: settings.coldTolerance,
    rateTolerance: settings.rateTolerance,
    maxShift: settings.maxShift,
    retryBudget: { ...settings.repeatBudget, windowMs: settings.repeatBudget.window },
    startedAt,
    mayShare,
    onRateLimitDivided: (division) => { logRateDivision(logger, division) }
  })
}
