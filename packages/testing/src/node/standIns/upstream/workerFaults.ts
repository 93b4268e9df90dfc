/** The faults that can be switched on in one worker stand-in. */
import type { IRandomSource } from '@umberspar/base/common/random'

/** What goes wrong with an answer after the request ran. */
export enum AnswerFault {
  /** The connection is reset before the first byte of the answer. */
  ResetBeforeFirstByte = 'reset-before-first-byte',
  /** The connection is reset after the head and half of the body. */
  ResetAfterFirstByte = 'reset-after-first-byte',
  /** The connection ends in order before as many bytes as Content-Length says. */
  ShortOfContentLength = 'short-of-content-length',
  /** A chunked body ends without its last chunk. */
  UnfinishedChunks = 'unfinished-chunks',
  /** A chunk begins with a size that is no number. */
  MalformedChunk = 'malformed-chunk',
  /** The answer comes after the request's deadline. */
  Late = 'late',
  /** The body comes in small pieces with pauses. */
  Trickled = 'trickled'
}

/** What goes wrong with a request before it runs. */
export enum RequestFault {
  /** The connection is reset. */
  Reset = 'reset',
  /** The request is refused explicitly, before its body is read. */
  Refuse = 'refuse',
  /** The request is refused explicitly after its body was read. */
  RefuseAfterBody = 'refuse-after-body',
  /** The request is never answered. */
  Hang = 'hang'
}

/** What a worker says of its health. */
export enum WorkerHealth {
  Starting = 'starting',
  Ready = 'ready',
  Draining = 'draining'
}

/** What goes wrong. */
export interface WorkerFaults {
  /** Connections are closed at once, open ones as well, and what runs is given up. */
  readonly isDown: boolean
  /** Probabilities, drawn once a request; their sum is at most 1. */
  readonly requestFaults: Readonly<Partial<Record<RequestFault, number>>>
  /** Probabilities, drawn once an answer; their sum is at most 1. */
  readonly answerFaults: Readonly<Partial<Record<AnswerFault, number>>>
  /** How long after the deadline a late answer comes. */
  readonly lateSpanMs: number
  /** The pause between two pieces of a trickled body. */
  readonly trickleSpanMs: number
  /** Work goes on although the caller has gone or the deadline has passed. */
  readonly ignoresCancellation: boolean
  /** Multiplies the time each request takes. */
  readonly slowFactor: number
  /** Said of the health whatever it is; undefined for the truth. */
  readonly reportedHealth: WorkerHealth | undefined
  /** Answers to work do not tell of a drain; the health does. */
  readonly hidesDrain: boolean
  /** Said of the utilization whatever it is; undefined for the truth. */
  readonly reportedUtilization: number | undefined
  /** Health and load are told as they were so long ago. */
  readonly reportLagSpanMs: number
  /** Probes are never answered. */
  readonly areProbesHung: boolean
  /** `Retry-After` of refusals, in seconds; undefined if they have none. */
  readonly retryAfterSeconds: number | undefined
}

/** No fault at all. */
export const NO_WORKER_FAULTS: WorkerFaults = {
  isDown: false,
  requestFaults: {},
  answerFaults: {},
  lateSpanMs: 50,
  trickleSpanMs: 20,
  ignoresCancellation: false,
  slowFactor: 1,
  reportedHealth: undefined,
  hidesDrain: false,
  reportedUtilization: undefined,
  reportLagSpanMs: 0,
  areProbesHung: false,
  retryAfterSeconds: undefined
}

/**
 * Draws at most one fault.
 * @param random the source
 * @param probabilities the probability of each
 * @returns the fault drawn, undefined for none
 */
export function chooseFault<Fault extends string> (random: IRandomSource, probabilities: Readonly<Partial<Record<Fault, number>>>): Fault | undefined {
  const faults = Object.keys(probabilities) as Fault[]
  if (faults.length === 0) return undefined
  let drawn = random.next()
  for (const fault of faults) {
    drawn -= probabilities[fault] ?? 0
    if (drawn < 0) return fault
  }
  return undefined
}
