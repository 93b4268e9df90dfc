/** How the workers of the two deployments behave: what the brief says, and service times assumed for tests. */
import type { WorkerOptions } from './upstream/workerOptions.js'

/** The workers of one deployment. */
export interface DeploymentProfile {
  /** Applies to every service. */
  readonly common: Partial<WorkerOptions>
  /** Mean service time by service, in milliseconds. */
  readonly meanSpanMsByService: Readonly<Record<string, number>>
}

const COMMON: Partial<WorkerOptions> = { connectSpanMs: 1, sigma: 0.5, coldFactor: 4, warmUpSpanMs: 10_000 }
const NO_PROFILE: DeploymentProfile = { common: COMMON, meanSpanMsByService: {} }

const PROFILE_BY_DEPLOYMENT: Readonly<Record<string, DeploymentProfile>> = {
  teratai: {
    common: COMMON,
    meanSpanMsByService: { 'itinerary-svc': 8, 'escort-svc': 12, 'docs-svc': 20, 'billing-svc': 15 }
  },
  guild: {
    common: { ...COMMON, probeSpanMs: 6 },
    meanSpanMsByService: { 'sheet-archive': 8, 'closeout-desk': 12, 'photo-intake': 20, 'visit-ledger': 15 }
  }
}

/**
 * @param deployment name of the deployment
 * @param service name of the service
 * @returns how its workers behave; the defaults for names that are not known
 */
export function getWorkerProfile (deployment: string, service: string): Partial<WorkerOptions> {
  const profile = PROFILE_BY_DEPLOYMENT[deployment] ?? NO_PROFILE
  const meanSpanMs = profile.meanSpanMsByService[service]
  return meanSpanMs === undefined ? profile.common : { ...profile.common, meanSpanMs }
}
