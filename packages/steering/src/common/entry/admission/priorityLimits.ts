/**
 * Divides what has to be refused at a service over the priorities and client accounts that ask it lately: the least urgent
 * priority yields first, and within a priority the accounts that are over their fair share.
 */
import { type AccountWeight, computeFairShare, type FairShare } from './fairShare.js'
import type { PriorityUsage, ServiceUsage } from './serviceUsage.js'

/** What is admitted of one priority. */
export interface PriorityLimit {
  /** The part that is admitted of requests whose account is not over its share. */
  readonly admittedRatio: number
  readonly fairShare: FairShare
}

/** Part of a priority that is admitted before the next more urgent one is limited too, so that none starves. */
const MIN_ADMITTED_RATIO = 0.3
/** Least part that is admitted where more urgent requests are hardly served. */
const MIN_CEILING_RATIO = 0.05
/** Weighted number of recent requests from which a priority counts as present. */
const MIN_PRESENT_COUNT = 0.3
/** Requests that are assumed to have been served, so that a few don't make a ratio. */
const PRIOR_REQUESTS = 2

function computeServedRatio ({ owed, served }: PriorityUsage): number {
  return (served + PRIOR_REQUESTS) / (owed + PRIOR_REQUESTS)
}

/** @returns for each present priority, least urgent first, its usage and the lowest served ratio of more urgent ones */
function listPresent (usage: ServiceUsage): Array<{ priority: number, part: PriorityUsage, ceiling: number, isMostUrgent: boolean }> {
  const present = [...usage].filter(([, { asked }]) => asked >= MIN_PRESENT_COUNT).sort(([left], [right]) => left - right)
  let ceiling = 1
  const listed = present.map(([priority, part], index) => {
    const entry = { priority, part, ceiling: Math.max(MIN_CEILING_RATIO, ceiling), isMostUrgent: index === 0 }
    ceiling = Math.min(ceiling, computeServedRatio(part))
    return entry
  })
  return listed.reverse()
}

/**
 * @param usage what is asked of the service
 * @param shortageRatio the part of it that has to be refused
 * @param getWeight the weights of accounts
 * @returns the limits of the priorities that are present; requests of others are not limited
 */
export function computePriorityLimits (usage: ServiceUsage, shortageRatio: number, getWeight: AccountWeight): Map<number, PriorityLimit> {
  const limits = new Map<number, PriorityLimit>()
  const present = listPresent(usage)
  let surplus = shortageRatio * present.reduce((sum, { part }) => sum + part.asked, 0)
  for (const { priority, part, ceiling, isMostUrgent } of present) {
    const { asked, accounts } = part
    const refused = Math.min(surplus, (1 - MIN_ADMITTED_RATIO) * asked)
    const fairShare = computeFairShare({ total: asked, accounts, servedRatio: computeServedRatio(part) }, asked - refused, getWeight)
    // The most urgent requests are left to the admission of single requests.
    const othersRatio = isMostUrgent ? 1 : Math.min(1, (asked - refused) / (asked - fairShare.excess))
    limits.set(priority, { admittedRatio: Math.min(othersRatio, ceiling), fairShare })
    surplus -= refused
  }
  return limits
}
