/**
 * Max-min fair shares of the client accounts of one priority. Only accounts with clearly more than an equal share of the
 * requests, counted often enough, can be over their share; the others are never limited on behalf of an account.
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

/** How the room is divided. */
export interface FairShare {
  /** What each account may have; Infinity if no account is over it. */
  readonly level: number
  /** The accounts that ask for more, with what they ask. */
  readonly over: ReadonlyMap<string, number>
  /** What they ask beyond the level, together. */
  readonly excess: number
}

/** How many times the equal share an account has to ask to be heavy. */
const HEAVY_RATIO = 1.5
/** How far beyond that, in square roots of the equal share, so that chance makes no account heavy. */
const CHANCE_MARGIN = 3
/** Weighted number of recent requests below which an account isn't known to be heavy. */
const MIN_HEAVY_COUNT = 6

const NOBODY_OVER: FairShare = { level: Infinity, over: new Map(), excess: 0 }

/** @returns the level at which what the heavy accounts get adds up to their room */
function computeLevel (heavy: ReadonlyMap<string, number>, room: number): number {
  const asks = [...heavy.values()].sort((left, right) => left - right)
  let left = room
  for (const [index, ask] of asks.entries()) {
    const level = left / (asks.length - index)
    if (ask >= level) return level
    left -= ask
  }
  return Infinity
}

/**
 * @param demand what accounts ask
 * @param room how much of it can be served
 * @returns the shares
 */
export function computeFairShare ({ total, accounts, servedRatio }: AccountDemand, room: number): FairShare {
  const sharers = accounts.size
  if (room >= total || sharers < 2) return NOBODY_OVER
  const equalShare = total / sharers
  const minHeavy = Math.max(MIN_HEAVY_COUNT, HEAVY_RATIO * equalShare + CHANCE_MARGIN * Math.sqrt(equalShare))
  const heavy = new Map([...accounts].filter(([, asked]) => asked > minHeavy))
  const heavyTotal = [...heavy.values()].reduce((sum, asked) => sum + asked, 0)
  const others = total - heavyTotal
  // A heavy account gets no less than the others do on average, whoever refuses their requests.
  const meanOfOthers = heavy.size < sharers ? servedRatio * others / (sharers - heavy.size) : 0
  const level = Math.max(room / sharers, meanOfOthers, computeLevel(heavy, Math.max(0, room - others)))
  const over = new Map([...heavy].filter(([, asked]) => asked > level))
  if (over.size === 0) return NOBODY_OVER
  return { level, over, excess: [...over.values()].reduce((sum, asked) => sum + asked - level, 0) }
}
