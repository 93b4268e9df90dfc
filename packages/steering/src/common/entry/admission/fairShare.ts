/**
 * Weighted max-min fair shares of the client accounts of one priority. Only accounts with clearly more than their part of
 * the requests, counted often enough, can be over their share; the others are never limited on behalf of an account.
 */

/** What accounts ask lately. */
export interface AccountDemand {
  /** What all accounts ask together. */
  readonly total: number
  /** What the heaviest accounts ask. */
  readonly accounts: ReadonlyMap<string, number>
  /** The part of what accounts may have that is served. */
  readonly servedRatio: number
}

/** @returns how much larger an account's share is than that of an account of weight 1 */
export type AccountWeight = (account: string) => number

/** An account over its share. */
export interface AccountOverShare {
  readonly asked: number
  readonly share: number
}

/** How the room is divided. */
export interface FairShare {
  /** The accounts that ask for more than their share. */
  readonly over: ReadonlyMap<string, AccountOverShare>
  /** What they ask beyond their shares, together. */
  readonly excess: number
}

interface WeightedAccount {
  readonly account: string
  readonly asked: number
  readonly weight: number
}

/** How many times its part by weight an account has to ask to be heavy. */
const HEAVY_RATIO = 1.5
/** How far beyond that, in square roots of its part, so that chance makes no account heavy. */
const CHANCE_MARGIN = 3
/** Weighted number of recent requests below which an account isn't known to be heavy. */
const MIN_HEAVY_COUNT = 6

const NOBODY_OVER: FairShare = { over: new Map(), excess: 0 }

function computeWeight (accounts: readonly WeightedAccount[]): number {
  return accounts.reduce((sum, { weight }) => sum + weight, 0)
}

/** @returns the share of weight 1 at which what the heavy accounts get adds up to their room */
function computeLevel (heavy: readonly WeightedAccount[], room: number): number {
  let roomLeft = room
  let weightLeft = computeWeight(heavy)
  for (const { asked, weight } of [...heavy].sort((left, right) => left.asked / left.weight - right.asked / right.weight)) {
    const level = roomLeft / weightLeft
    if (asked >= level * weight) return level
    roomLeft -= asked
    weightLeft -= weight
  }
  return Infinity
}

/**
 * @param demand what accounts ask
 * @param room how much of it can be served
 * @param getWeight the weights of accounts
 * @returns the shares
 */
export function computeFairShare ({ total, accounts, servedRatio }: AccountDemand, room: number, getWeight: AccountWeight): FairShare {
  if (room >= total || accounts.size < 2) return NOBODY_OVER
  const known = [...accounts].map(([account, asked]): WeightedAccount => ({ account, asked, weight: getWeight(account) }))
  const totalWeight = computeWeight(known)
  const heavy = known.filter(({ asked, weight }) => {
    const part = total * weight / totalWeight
    return asked > Math.max(MIN_HEAVY_COUNT, HEAVY_RATIO * part + CHANCE_MARGIN * Math.sqrt(part))
  })
  if (heavy.length === 0) return NOBODY_OVER
  const others = total - heavy.reduce((sum, { asked }) => sum + asked, 0)
  const otherWeight = totalWeight - computeWeight(heavy)
  // A heavy account gets no less than the others do on average, whoever refuses their requests.
  const meanOfOthers = heavy.length < known.length ? servedRatio * others / otherWeight : 0
  const level = Math.max(room / totalWeight, meanOfOthers, computeLevel(heavy, Math.max(0, room - others)))
  const over = new Map<string, AccountOverShare>()
  for (const { account, asked, weight } of heavy) if (asked > level * weight) over.set(account, { asked, share: level * weight })
  return { over, excess: [...over.values()].reduce((sum, { asked, share }) => sum + asked - share, 0) }
}
