/** The records in which entry VMs tell each other about requests that crash workers. Times are wall time in milliseconds since 1970. */

/** One worker that crashed while it held a request. */
export interface CrashReport {
  /** Identifies the request; the same in all of its attempts. */
  readonly digest: string
  /** Identifies the worker and the start of its process. */
  readonly workerId: string
  /** 1 if the request was sent before any crash under it was known, else one more than the highest round known at that time. */
  readonly round: number
}

/** A request that a worker answered, which refutes earlier crash reports about it. */
export interface AnswerReport {
  readonly digest: string
  /** The workers whose crashes are refuted as evidence against the request. */
  readonly workerIds: readonly string[]
}

/** All current reports of one entry VM. */
export interface CrashReports {
  /** The reporting VM's name. */
  readonly node: string
  readonly crashes: readonly CrashReport[]
  readonly answers: readonly AnswerReport[]
  /** All reports in this record expire at this time. */
  readonly expiresAt: number
}

/** A request that no entry VM may send to a worker. */
export interface Quarantine {
  readonly digest: string
  readonly service: string
  /** The workers that crashed under it, as information for operators. */
  readonly workerIds: readonly string[]
  readonly expiresAt: number
}
