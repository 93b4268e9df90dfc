/** Refusal for lack of room, with an estimate of when there may be some. */
import { ErrorCode, StepError } from '@umberspar/base/common/errors'

const MS_PER_SECOND = 1000
/** Beyond this an estimate says little; the caller may as well ask again. */
const LONGEST_SECONDS = 30

/** A StepError for a request that was refused before any byte left for an upstream. */
export class AdmissionError extends StepError {
  /** Whole seconds as `Retry-After` says them, from 1 to 30. */
  readonly retryAfterSeconds: number

  /**
   * @param place `service/failure domain`
   * @param message what was lacking
   * @param expectedSpanMs estimated milliseconds until there is room
   */
  constructor (place: string, message: string, expectedSpanMs: number) {
    super({ code: ErrorCode.Exhausted, step: 'acquire-slot', peer: place, message })
    this.retryAfterSeconds = Math.min(LONGEST_SECONDS, Math.max(1, Math.ceil(expectedSpanMs / MS_PER_SECOND)))
  }
}
