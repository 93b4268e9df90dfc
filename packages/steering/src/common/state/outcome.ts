/** The outcome of a request, as reported to its caller. */

/** Whether an upstream ran a request. */
export enum Outcome {
  /** The response of an upstream was forwarded to the caller. */
  Done = 'done',
  /** No upstream ran it: no byte was sent, or all upstreams that received it refused it explicitly. */
  NotRun = 'not-run',
  /** It may have run. */
  Unknown = 'unknown'
}
