/** What is asked of a service by requests of each priority and by the heaviest client accounts, at one VM or several. */

/** The recent requests of one priority for one service; all numbers are weighted counts (see `DecayingCount`). */
export interface PriorityUsage {
  readonly asked: number
  /** Those that their accounts' fair shares allow; at most `asked`. */
  readonly owed: number
  /** Those of `owed` that were not refused for lack of room. */
  readonly served: number
  /** What the heaviest accounts asked, by their names. */
  readonly accounts: ReadonlyMap<string, number>
}

/** The usage of one service by priority. */
export type ServiceUsage = ReadonlyMap<number, PriorityUsage>

/** The usage of several services by their names. */
export type Usage = ReadonlyMap<string, ServiceUsage>

/** Accounts of one priority and service that VMs publish. */
export const MAX_TOLD_ACCOUNTS = 32

/**
 * @param accounts what accounts asked
 * @param limit the number of accounts to keep
 * @returns the heaviest ones, heaviest first
 */
export function listHeaviest (accounts: ReadonlyMap<string, number>, limit: number): Array<readonly [string, number]> {
  return [...accounts].sort(([leftName, left], [rightName, right]) => right - left || (leftName < rightName ? -1 : 1)).slice(0, limit)
}

function mergePriority (left: PriorityUsage | undefined, right: PriorityUsage): PriorityUsage {
  if (left === undefined) return right
  const accounts = new Map(left.accounts)
  for (const [name, asked] of right.accounts) accounts.set(name, (accounts.get(name) ?? 0) + asked)
  return { asked: left.asked + right.asked, owed: left.owed + right.owed, served: left.served + right.served, accounts }
}

/**
 * @param left the usage of a service
 * @param right its usage at other VMs
 * @returns their sum
 */
export function mergeServiceUsages (left: ServiceUsage, right: ServiceUsage): ServiceUsage {
  const sum = new Map(left)
  for (const [priority, part] of right) sum.set(priority, mergePriority(sum.get(priority), part))
  return sum
}

/**
 * @param usages usages of different VMs
 * @returns their sum
 */
export function mergeUsages (usages: Iterable<Usage>): Usage {
  const sum = new Map<string, ServiceUsage>()
  for (const usage of usages) {
    for (const [service, byPriority] of usage) sum.set(service, mergeServiceUsages(sum.get(service) ?? new Map(), byPriority))
  }
  return sum
}
