/**
 * The port to how the deployment's callers and workers speak: which header fields
 * carry what, and how look-ups are asked and answered. An adapter supplies it.
 */

/** Header fields by what they hold, all names in lower case. */
export interface HeaderNames {
  /** Identifies one attempt of a caller; workers echo it. */
  readonly requestId: string
  /** Milliseconds until the caller gives up. */
  readonly deadlineMs: string
  /** The cookie that identifies the object of a request. */
  readonly keyCookie: string
  /** A worker's seal on its answer. */
  readonly seal: string
  /** The id of the only worker that may run the request. */
  readonly expectedWorker: string
  /** A worker's load: running, waiting, slots. */
  readonly load: string
  /** The requests a second that a worker takes from all entry VMs together, for as long as its answers say so; any of these names. */
  readonly rateLimit: readonly string[]
  /** Stands on answers of a worker that did not run the request. */
  readonly notRun: string
  /** The name of the caller's account, told to workers. */
  readonly account: string
}

/** A look-up as asked. */
export interface LookupQuery {
  readonly host: string
  readonly region: string
  readonly domain: string
}

/** What a look-up is answered. */
export interface LookupAnswer {
  /** `host:port` of entry VMs. */
  readonly addresses: readonly string[]
  /** How long the answer may be kept, in milliseconds. */
  readonly cacheMs: number
}

/** How callers are spoken to. */
export interface ICallerProtocol {
  readonly headers: HeaderNames
  /** The path of the readiness check. */
  readonly readinessPath: string
  /** The path of look-ups. */
  readonly lookupPath: string
  /** The status with which a worker says that it is not the one expected. */
  readonly otherWorkerStatus: number
  /**
   * @param query the look-up's query
   * @returns what is asked, or undefined if it cannot be read
   */
  parseLookup(query: URLSearchParams): LookupQuery | undefined
  /** @returns the answer's body, in JSON */
  formatLookup(answer: LookupAnswer): string
}
