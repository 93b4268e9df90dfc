/** The ways in which a worker of the users' platform answers. */

/** How a worker answers. */
export enum WorkerFault {
  None = 'none',
  /** Refuses the request without running it. */
  Shed = 'shed',
  /** Runs and resets the connection. */
  AnswerLost = 'answer-lost',
  /** Runs and answers 500. */
  Fail = 'fail',
  /** Sends a second answer after the first. */
  Extra = 'extra',
  /** Sends an answer to an earlier request first. */
  LateExtra = 'late-extra',
  /** Sends bytes that are not a response. */
  Rot = 'rot',
  /** Ends the answer too early. */
  Short = 'short',
  /** Sends the answer but for its last bytes, and nothing more. */
  Stalled = 'stalled',
  /** Sends a control character in the value of a header field. */
  InvalidField = 'invalid-field',
  /** The same, in a response that ends with its connection as it has no length. */
  InvalidFieldUnframed = 'invalid-field-unframed',
  /** Sends a header field whose name is no token. */
  InvalidFieldName = 'invalid-field-name',
  /** Sends a part of the response without end, until the caller closes the connection. */
  EndlessStatusLine = 'endless-status-line',
  EndlessHead = 'endless-head',
  EndlessInterimResponses = 'endless-interim-responses',
  EndlessChunkLine = 'endless-chunk-line',
  EndlessChunkExtensions = 'endless-chunk-extensions',
  EndlessChunkEnd = 'endless-chunk-end',
  EndlessTrailer = 'endless-trailer',
  EndlessTrailers = 'endless-trailers',
  /** Sends a body without end: of a success, a failure, a refusal, a success without the seal, and an answer to an earlier request. */
  EndlessBody = 'endless-body',
  EndlessFailure = 'endless-failure',
  EndlessRefusal = 'endless-refusal',
  EndlessUnsealed = 'endless-unsealed',
  EndlessLateExtra = 'endless-late-extra',
  /** A success without the worker's seal. */
  Unsealed = 'unsealed',
  /** Never answers. */
  Silent = 'silent'
}

/** Responses of which a part other than the body has no end. */
export const ENDLESS_FRAMING_FAULTS: readonly WorkerFault[] = [
  WorkerFault.EndlessStatusLine,
  WorkerFault.EndlessHead,
  WorkerFault.EndlessInterimResponses,
  WorkerFault.EndlessChunkLine,
  WorkerFault.EndlessChunkExtensions,
  WorkerFault.EndlessChunkEnd,
  WorkerFault.EndlessTrailer,
  WorkerFault.EndlessTrailers
]
