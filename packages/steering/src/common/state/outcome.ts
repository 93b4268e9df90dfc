/** What a caller may conclude from how a request ended. */

/** Whether a request ran. */
export enum Outcome {
  /** An upstream's own answer was passed on. */
  Done = 'done',
  /** No upstream ran it: no byte left, or all that got it refused it explicitly. */
  NotRun = 'not-run',
  /** It may have run. */
  Unknown = 'unknown'
}
