/** Ways to decide, side by side: the product's own, simpler ones, and the product's with one mechanism taken out. */
import { shouldOffer } from '@umberspar/steering/common/entry/admission'
import { chooseUpstream, estimateChoice } from '@umberspar/steering/common/entry/chooseUpstream'
import { computeRetry } from '@umberspar/steering/common/entry/comeBack'
import { HandState } from '@umberspar/steering/common/entry/handChance'
import type { Chooser, ModelPolicy } from './policyModel.js'

/** A policy's name on the command line. */
export enum PolicyName {
  /** What the product does. */
  Today = 'today',
  /** The first worker of the object's ranking, whatever its load. */
  ByKey = 'by-key',
  /** The worker with the fewest requests, whatever it has at hand. */
  LeastLoaded = 'least-loaded',
  /** The product's, but what a VM does not remember counts as not at hand. */
  OwnMemory = 'own-memory',
  /** The product's, but nothing is refused for being late. */
  OfferAll = 'offer-all'
}

const BYTE_COSTS = { otherDomain: 0.004, otherRegion: 0.013 }

const chooseByWorth: Chooser = (candidates, need) => chooseUpstream(candidates, need, BYTE_COSTS)

const chooseByKey: Chooser = (candidates, need) => candidates.length === 0 ? undefined : estimateChoice(candidates[0]!, need, BYTE_COSTS)

const chooseLeastLoaded: Chooser = (candidates, need) => {
  const held = candidates.map(({ tracker }) => tracker.countHeld(need.now) / tracker.entry.slots)
  const best = held.indexOf(Math.min(...held))
  return best < 0 ? undefined : estimateChoice(candidates[best]!, need, BYTE_COSTS)
}

const chooseByOwnMemory: Chooser = (candidates, need) => {
  return chooseByWorth(candidates.map((candidate) => ({ ...candidate, handChance: candidate.hand === HandState.Remembered ? 1 : 0 })), need)
}

const TODAY: ModelPolicy = { choose: chooseByWorth, shouldOffer, computeRetry }

/** All policies. */
export const POLICIES: Readonly<Record<PolicyName, ModelPolicy>> = {
  [PolicyName.Today]: TODAY,
  [PolicyName.ByKey]: { ...TODAY, choose: chooseByKey },
  [PolicyName.LeastLoaded]: { ...TODAY, choose: chooseLeastLoaded },
  [PolicyName.OwnMemory]: { ...TODAY, choose: chooseByOwnMemory },
  [PolicyName.OfferAll]: { ...TODAY, shouldOffer: () => true }
}
