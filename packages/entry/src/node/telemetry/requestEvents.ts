/**
 * The log lines and counters of requests. Each line names the request by its id,
 * what decided, how old that was, and what came of it; docs/LOGGING.md lists the fields.
 */

/** What a caller was given in the end. */
export enum RequestEnd {
  /** A worker's own answer, whatever its status. */
  Answered = 'answered',
  /** Refused; it did not run. */
  Refused = 'refused',
  /** No answer; it may have run. */
  Failed = 'failed',
  /** No answer within the time limit; it may have run. */
  TimedOut = 'timed-out',
  /** The caller left first. */
  Abandoned = 'abandoned',
  /** The request itself was wrong. */
  Invalid = 'invalid'
}

/** Why a request ended as it did, where its end alone does not say. */
export enum EndReason {
  None = 'none',
  NoConfiguration = 'no-configuration',
  NoRoute = 'no-route',
  /** No client account holds the caller's key, or it sent none. */
  KeyUnknown = 'key-unknown',
  /** The records of this VM are too old to tell whether the request is still allowed, or where. */
  RecordsStale = 'records-stale',
  /** The homes of route and account have no region in common. */
  NoHome = 'no-home',
  /** The caller's account has used its quota up. */
  QuotaSpent = 'quota-spent',
  /** Keepers of the account's quota do not answer, and the others have nothing left. */
  QuotaUnknown = 'quota-unknown',
  HeadTooLarge = 'head-too-large',
  BodyTooLarge = 'body-too-large',
  BodyLate = 'body-late',
  BodiesFull = 'bodies-full',
  /** No worker may get it: none is registered, all leave, or all were tried. */
  NoWorker = 'no-worker',
  /** No worker may get it, and some only because of the rate limits that they name. */
  RateLimited = 'rate-limited',
  /** Every worker is expected to answer too late. */
  TooLate = 'too-late',
  /** The workers refused it, and it may not be offered again. */
  WorkersRefused = 'workers-refused',
  /** Workers crashed under this request before. */
  Quarantined = 'quarantined',
  /** It may be repeated, but the budget for repeats is spent. */
  RepeatsSpent = 'repeats-spent',
  /** The worker broke off, or sent something else than an answer. */
  WorkerBroke = 'worker-broke',
  /** No answer came in time. */
  NoAnswer = 'no-answer',
  CallerLeft = 'caller-left',
  /** It came behind others on a connection that ends before its turn; its caller sends it again. */
  NotRead = 'not-read'
}

/** How one offer to a worker ended. */
export enum OfferEnd {
  Answered = 'answered',
  /** The worker said that it did not run the request. */
  RefusedByWorker = 'refused-by-worker',
  /** Another worker has the address now. */
  OtherWorker = 'other-worker',
  /** No connection; nothing was sent. */
  NotSent = 'not-sent',
  /** The worker left, or was evacuated, while the connection was opened; nothing was sent. */
  Withdrawn = 'withdrawn',
  /** The worker failed the request by its own answer. */
  FailedByWorker = 'failed-by-worker',
  Broken = 'broken',
  Garbled = 'garbled',
  Cancelled = 'cancelled'
}
