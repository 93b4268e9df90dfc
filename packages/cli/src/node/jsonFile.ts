/** Reading of JSON files that the operator names. */
import { readFile } from 'node:fs/promises'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { Err, Ok } from '@umberspar/base/common/result'
import type { Result } from '@umberspar/base/common/result'

const READ_STEP = 'read-file'

/**
 * @param path the file
 * @returns its JSON value; `Invalid` if it can't be read or is no JSON
 */
export async function readJsonFile (path: string): Promise<Result<unknown, StepError>> {
  try {
    return Ok(JSON.parse(await readFile(path, 'utf8')) as unknown)
  } catch (failure) {
    const message = failure instanceof Error ? failure.message : String(failure)
    return Err(new StepError({ code: ErrorCode.Invalid, step: READ_STEP, peer: path, message, cause: failure }))
  }
}
