/**
 * Re-exports `ts-results` for all packages. It is a CommonJS package, so ES modules can access
 * its values only through the default import.
 */
import results from 'ts-results'
import type { Result as ResultType } from 'ts-results'

export const { Ok, Err } = results

/** Either a value of type T or an error of type E; used instead of exceptions for expected failures. */
export type Result<T, E> = ResultType<T, E>
