/** The error for requests that are rejected because no slot is free, with a retry delay for the caller. */
import { ErrorCode, StepError } from '@umberspar/base/common/errors'

const MS_PER_SECOND = 1000
/** Longer wait estimates are too uncertain to delay the caller's retry further. */
const MAX_RETRY_AFTER_SECONDS = 30

/** A StepError for a request that was rejected before any byte was sent to an upstream. */
export class AdmissionError extends StepError {
  /** Value of the `Retry-After` header in whole seconds, from 1 to 30. */
  readonly retryAfterSeconds: number

  /**
   * @param place `service/failure domain`
   * @param message why the request can't be admitted
   * @param expectedWaitMs estimated time until a slot is free
   */
  constructor (place: string, message: string, expectedWaitMs: number) {
    super({ code: ErrorCode.Exhausted, step: 'acquire-slot', peer: place, message })
    this.retryAfterSeconds = Math.min(MAX_RETRY_AFTER_SECONDS, Math.max(1, Math.ceil(expectedWaitMs / MS_PER_SECOND)))
  }
}
