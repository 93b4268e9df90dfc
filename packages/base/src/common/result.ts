/**
 * The workspace's one way to `ts-results`: that package ships CommonJS, so an
 * ES module reaches its values only through the default import.
 */
import results from 'ts-results'
import type { Result as ResultType } from 'ts-results'

export const { Ok, Err } = results

/** Either a value of type T or an error of type E; nothing is thrown for an expected failure. */
export type Result<T, E> = ResultType<T, E>
