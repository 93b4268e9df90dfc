/**
 * The protocol between the entry VMs and the deployment's callers and workers: the
 * names of header fields, and the format of look-ups. An adapter implements it.
 */
import type { LoadReport } from '../entry/workers/workerLoad.js'

/** The names of header fields by their purpose, in lower case. */
export interface HeaderNames {
  /** Identifies one attempt of a caller; workers return it in their responses. */
  readonly requestId: string
  /** Milliseconds until the caller's deadline. */
  readonly deadlineMs: string
  /** The cookie whose value identifies the object that a request is about; requests with the same value have affinity to one worker. */
  readonly affinityCookie: string
  /** Set by workers on their responses; a successful response without it is invalid. */
  readonly seal: string
  /** The id of the only worker that may run the request. */
  readonly expectedWorker: string
  /** A worker's load; see {@link ICallerProtocol.parseLoad}. */
  readonly load: string
  /** The requests per second that a worker accepts from all entry VMs together, while its responses contain the field; alternative names. */
  readonly rateLimit: readonly string[]
  /** Set by a worker on all of its responses from the moment at which it starts to drain; alternative names. */
  readonly draining: readonly string[]
  /** Set by a worker on its response if it did not run the request. */
  readonly notRun: string
  /** The name of the caller's client account, sent to workers. */
  readonly account: string
}

/** A look-up of entry VMs. */
export interface LookupQuery {
  readonly host: string
  readonly region: string
  readonly domain: string
}

/** The response to a look-up. */
export interface LookupResponse {
  /** The addresses of entry VMs, as `host:port`. */
  readonly addresses: readonly string[]
  /** How long the response may be cached, in milliseconds. */
  readonly cacheMs: number
}

/** The protocol between entry VMs and callers. */
export interface ICallerProtocol {
  readonly headers: HeaderNames
  /** The path of the readiness check. */
  readonly readinessPath: string
  /** The path of look-ups. */
  readonly lookupPath: string
  /** The HTTP status of a worker that is not the one in the {@link HeaderNames.expectedWorker} field. */
  readonly misdirectedRequestStatus: number
  /**
   * @param query the parameters of the look-up's URL
   * @returns the parsed look-up, or undefined if it is malformed
   */
  parseLookup(query: URLSearchParams): LookupQuery | undefined
  /**
   * @param text the value of the {@link HeaderNames.load} field
   * @returns the load; undefined if the text is malformed
   */
  parseLoad(text: string): LoadReport | undefined
  /** @returns the body of the response as JSON */
  formatLookup(response: LookupResponse): string
}
