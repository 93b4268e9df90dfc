/** What entry VMs report to each other of requests under which workers crash. Instants are wall time, in milliseconds since 1970. */

/** One worker that crashed while it held a request. */
export interface CrashReport {
  /** Recognizes the request in all of its attempts. */
  readonly digest: string
  /** One start of a worker. */
  readonly workerId: string
  /** 1 if the request was sent before any crash under it was known; else one more than the highest round known. */
  readonly round: number
}

/** A request that a worker answered, which refutes earlier reports. */
export interface AnswerReport {
  readonly digest: string
  /** The workers whose crashes are refuted. */
  readonly workerIds: readonly string[]
}

/** All that one entry VM reports. */
export interface CrashReports {
  /** The reporting VM's name. */
  readonly node: string
  readonly crashes: readonly CrashReport[]
  readonly answers: readonly AnswerReport[]
  /** From then on nothing in it counts. */
  readonly expiresAt: number
}

/** A request that no entry VM sends to a worker. */
export interface Quarantine {
  readonly digest: string
  readonly service: string
  /** The workers that crashed under it, for operators. */
  readonly workerIds: readonly string[]
  readonly expiresAt: number
}
