/** The steering policies to compare: the product's, simpler ones, and the product's without one of its mechanisms. */
import { shouldAdmit } from '@umberspar/steering/common/entry/admission/admission'
import { chooseUpstream, estimateChoice } from '@umberspar/steering/common/entry/workers/chooseUpstream'
import { CacheState } from '@umberspar/steering/common/entry/workers/cacheHitEstimator'
import type { UpstreamChooser, SteeringPolicy } from './policySimulation.js'

/** The names of policies on the command line. */
export enum PolicyName {
  /** The product's policy. */
  Current = 'today',
  /** Always the first worker in the object's ranking, whatever its load. */
  FirstRanked = 'by-key',
  /** The worker with the fewest requests per slot, whatever it has cached. */
  LeastLoaded = 'least-loaded',
  /** The product's policy, but an object counts as cached only if the VM remembers it. */
  LocalCacheKnowledge = 'own-memory',
  /** The product's policy, but requests are admitted even if their answers would be late. */
  AdmitAll = 'offer-all'
}

const BYTE_COSTS = { otherDomain: 0.004, otherRegion: 0.013 }

const chooseByWorth: UpstreamChooser = (candidates, need) => chooseUpstream(candidates, need, BYTE_COSTS)

const chooseFirstRanked: UpstreamChooser = (candidates, need) => candidates.length === 0 ? undefined : estimateChoice(candidates[0]!, need, BYTE_COSTS)

const chooseLeastLoaded: UpstreamChooser = (candidates, need) => {
  const loads = candidates.map(({ tracker }) => tracker.countInFlight(need.now) / tracker.registration.slots)
  const bestIndex = loads.indexOf(Math.min(...loads))
  return bestIndex < 0 ? undefined : estimateChoice(candidates[bestIndex]!, need, BYTE_COSTS)
}

const chooseByLocalCacheKnowledge: UpstreamChooser = (candidates, need) => {
  return chooseByWorth(candidates.map((candidate) => ({ ...candidate, cacheHitProbability: candidate.cacheState === CacheState.RecentlyUsed ? 1 : 0 })), need)
}

const CURRENT_POLICY: SteeringPolicy = { choose: chooseByWorth, shouldOffer: shouldAdmit }

/** All policies. */
export const POLICIES: Readonly<Record<PolicyName, SteeringPolicy>> = {
  [PolicyName.Current]: CURRENT_POLICY,
  [PolicyName.FirstRanked]: { ...CURRENT_POLICY, choose: chooseFirstRanked },
  [PolicyName.LeastLoaded]: { ...CURRENT_POLICY, choose: chooseLeastLoaded },
  [PolicyName.LocalCacheKnowledge]: { ...CURRENT_POLICY, choose: chooseByLocalCacheKnowledge },
  [PolicyName.AdmitAll]: { ...CURRENT_POLICY, shouldOffer: () => true }
}
