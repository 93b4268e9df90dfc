/** Reads JSON files given by the operator. */
import { readFile } from 'node:fs/promises'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { Err, Ok } from '@umberspar/base/common/result'
import type { Result } from '@umberspar/base/common/result'

const READ_STEP = 'read-file'

/**
 * @param path the path of the file
 * @returns the parsed value; `Invalid` if the file can't be read or is not JSON
 */
export async function readJsonFile (path: string): Promise<Result<unknown, StepError>> {
  try {
    return Ok(JSON.parse(await readFile(path, 'utf8')) as unknown)
  } catch (failure) {
    const message = failure instanceof Error ? failure.message : String(failure)
    return Err(new StepError({ code: ErrorCode.Invalid, step: READ_STEP, peer: path, message, cause: failure }))
  }
}
