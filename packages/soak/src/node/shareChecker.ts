/** Checks who is served while a service lacks room, over all rushes of a run without other disruptions. */
import { AnswerKind } from '@umberspar/testing/common/history/historyEvent'
import { CALLER_ACCOUNT } from '../common/soakAccounts.js'
import { SoakRule } from '../common/soakRule.js'

/** What a group of requests got. */
export interface ServedShare {
  readonly sent: number
  readonly served: number
}

/** An attempt during a rush. */
export interface RushAttempt {
  readonly account: string
  /** The route's priority; 0 is the most urgent. */
  readonly priority: number
}

interface Finding {
  readonly rule: SoakRule
  readonly subject: string
  readonly detail: string
}

/** Groups with fewer attempts are not judged. */
const MIN_ATTEMPTS = 40
/** An account is starved if it is served less than this part as often as all requests of its priority. */
const STARVED_RATIO = 0.25
/** How much less often a more urgent kind may be served, beside chance. */
const PRIORITY_TOLERANCE = 0.05
const CHANCE_DEVIATIONS = 3

function getRatio ({ sent, served }: ServedShare): number {
  return sent === 0 ? 0 : served / sent
}

function computeDeviation (...groups: readonly ServedShare[]): number {
  const total = groups.reduce((sum, { sent, served }) => ({ sent: sum.sent + sent, served: sum.served + served }))
  const ratio = getRatio(total)
  return Math.sqrt(ratio * (1 - ratio) * groups.reduce((sum, { sent }) => sum + 1 / sent, 0))
}

/** Counts who is served. */
export class ShareChecker {
  private readonly groups = new Map<string, RushAttempt & ServedShare>()

  /** Records the outcome of an attempt that was sent during a rush without other disruptions. */
  record ({ account, priority }: RushAttempt, answer: AnswerKind): void {
    const key = `${account} ${priority}`
    const { sent, served } = this.groups.get(key) ?? { sent: 0, served: 0 }
    this.groups.set(key, { account, priority, sent: sent + 1, served: served + Number(answer === AnswerKind.Complete) })
  }

  /** @returns what each account got at each priority */
  list (): ReadonlyArray<RushAttempt & ServedShare> {
    return [...this.groups.values()]
  }

  /** @returns what was broken */
  check (): Finding[] {
    return [...this.checkAccounts(), ...this.checkPriorities()]
  }

  private checkAccounts (): Finding[] {
    return this.list().flatMap((group) => {
      const peers = this.list().filter(({ priority }) => priority === group.priority)
      const all = { sent: peers.reduce((sum, { sent }) => sum + sent, 0), served: peers.reduce((sum, { served }) => sum + served, 0) }
      const isQuiet = group.account === CALLER_ACCOUNT.Name
      if (!isQuiet || peers.length < 2 || group.sent < MIN_ATTEMPTS || getRatio(group) >= STARVED_RATIO * getRatio(all)) return []
      return [{ rule: SoakRule.AccountStarved, subject: group.account, detail: `priority ${group.priority}: ${group.served} of ${group.sent} served, of all ${all.served} of ${all.sent}` }]
    })
  }

  private checkPriorities (): Finding[] {
    const kinds = this.list().filter(({ account, sent }) => account === CALLER_ACCOUNT.Name && sent >= MIN_ATTEMPTS)
    return kinds.flatMap((urgent) => kinds.filter((other) => {
      const tolerance = PRIORITY_TOLERANCE + CHANCE_DEVIATIONS * computeDeviation(urgent, other)
      return other.priority > urgent.priority && getRatio(urgent) < getRatio(other) - tolerance
    }).map((other) => ({ rule: SoakRule.PriorityIgnored, subject: `priority ${urgent.priority}`, detail: `${urgent.served} of ${urgent.sent} served, of priority ${other.priority} ${other.served} of ${other.sent}` })))
  }
}
