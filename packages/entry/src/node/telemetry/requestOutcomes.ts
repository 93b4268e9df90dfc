/**
 * The outcomes of requests and attempts, as written to log lines and metrics; docs/LOGGING.md lists
 * the fields of the log lines.
 */

/** How a request ended. */
export enum RequestOutcome {
  /** A worker's response was forwarded, whatever its status. */
  Answered = 'answered',
  /** The request was refused; it did not run. */
  Refused = 'refused',
  /** No worker responded; the request may have run. */
  Failed = 'failed',
  /** No worker responded within the time limit; the request may have run. */
  TimedOut = 'timed-out',
  /** The caller disconnected first. */
  Abandoned = 'abandoned',
  /** The request was invalid. */
  Invalid = 'invalid'
}

/** Why a request ended, if its outcome alone doesn't tell. */
export enum EndReason {
  None = 'none',
  NoConfiguration = 'no-configuration',
  NoRoute = 'no-route',
  /** The caller's key belongs to no client account, or it sent none. */
  KeyUnknown = 'key-unknown',
  /** The records of this VM are too old to tell whether, and in which regions, the request may run. */
  RecordsStale = 'records-stale',
  /** The process stops before the time limit of the request. */
  Stopping = 'stopping',
  /** The route and the client account have no home region in common. */
  NoHomeRegion = 'no-home',
  /** The quota of the caller's client account is exhausted. */
  QuotaExhausted = 'quota-spent',
  /** Some VMs that hold a share of the quota don't respond, and the shares of the others are exhausted. */
  QuotaUnknown = 'quota-unknown',
  HeadersTooLarge = 'head-too-large',
  BodyTooLarge = 'body-too-large',
  /** Its chunks violate the protocol. */
  BodyMalformed = 'body-malformed',
  BodyTimeout = 'body-late',
  BodyMemoryExhausted = 'bodies-full',
  /** No worker is available: none is registered, all are draining, or all were tried. */
  NoWorker = 'no-worker',
  /** No worker is available, some of them only because of the rate limits that they announce. */
  RateLimited = 'rate-limited',
  /** No worker is available, some of them only because they asked for a pause. */
  WorkersCoolingDown = 'workers-cooling-down',
  /** Every worker is expected to respond after the deadline. */
  DeadlineUnreachable = 'too-late',
  /** The service has no room, and more urgent requests need it. */
  PriorityYielded = 'priority-yielded',
  /** The service has no room, and the client account asks for more than its fair share of it. */
  AccountOverShare = 'account-over-share',
  /** Workers refused the request, and no further attempt is allowed. */
  WorkersRefused = 'workers-refused',
  /** This VM can't take the relayed request of another one. */
  RelayUnable = 'relay-unable',
  /** The request crashed workers before. */
  Quarantined = 'quarantined',
  /** The request could be retried, but the retry budget is exhausted. */
  RetryBudgetExhausted = 'repeats-spent',
  /** The connection to the worker was lost, or the response was malformed. */
  WorkerFailed = 'worker-broke',
  /** No response arrived in time. */
  NoResponse = 'no-answer',
  CallerDisconnected = 'caller-left',
  /** The request was pipelined on a connection that closed before its turn; its caller sends it again. */
  NotProcessed = 'not-read'
}

/** How an attempt to have a worker run a request ended. */
export enum AttemptOutcome {
  Answered = 'answered',
  /** The worker reported that it did not run the request. */
  RefusedByWorker = 'refused-by-worker',
  /** Another worker uses the address now. */
  AddressReused = 'other-worker',
  /** Another VM took the request and refused to send it to a worker. */
  RefusedByRelay = 'refused-by-relay',
  /** Another VM can't take requests now; it did not send it to a worker. */
  RelayUnable = 'relay-unable',
  /** No connection could be opened; nothing was sent. */
  NotSent = 'not-sent',
  /** The attempt was no longer allowed when the connection was open; nothing was sent. */
  Withdrawn = 'withdrawn',
  /** The worker responded with a server error. */
  FailedByWorker = 'failed-by-worker',
  ConnectionLost = 'broken',
  MalformedResponse = 'garbled',
  Cancelled = 'cancelled'
}
