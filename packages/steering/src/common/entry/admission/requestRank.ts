/** What decides which of two requests goes first when a service has too little room for both. */

/** The rank of one request. */
export interface RequestRank {
  /** The account's priority, or else the route's; 0 is the most urgent. */
  readonly priority: number
  /** The client account; undefined where callers need no keys. */
  readonly account: string | undefined
  /** Whether its caller was refused before and has come back, as far as the time that it has left shows. */
  readonly hasReturned: boolean
}
