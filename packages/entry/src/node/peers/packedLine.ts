/**
 * Long lines between entry VMs go packed. The records of a deployment repeat the same
 * fields for every worker and route: packed they take a tenth, and the links of small
 * VMs carry a telling of everything in a fraction of a second.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { Err, Ok, type Result } from '@umberspar/base/common/result'

/** Shorter lines go as they are: a beat or the news of a worker would hardly shrink. */
const LEAST_PACKED_LENGTH = 2_048
/** Nothing else begins so: lines are JSON objects. */
const PACKED_MARK = 'z'
/** A higher one takes longer and gains a hundredth. */
const LEVEL = 1
/** More than that is refused; everything of 4,600 VMs and 3,500 workers takes two megabytes. */
const MOST_BYTES = 16_777_216
const LINE_END = '\n'

/**
 * @param line a line with its end
 * @returns the same line as it goes on the wire
 */
export function encodeLine (line: string): string {
  if (line.length < LEAST_PACKED_LENGTH) return line
  return `${PACKED_MARK}${deflateRawSync(line, { level: LEVEL }).toString('base64')}${LINE_END}`
}

/**
 * @param text a line as it came, without its end
 * @param peer who sent it
 * @returns the line, or an error if it cannot be unpacked
 */
export function decodeLine (text: string, peer: string): Result<string, StepError> {
  if (!text.startsWith(PACKED_MARK)) return Ok(text)
  try {
    return Ok(inflateRawSync(Buffer.from(text.slice(PACKED_MARK.length), 'base64'), { maxOutputLength: MOST_BYTES }).toString())
  } catch (thrown) {
    return Err(new StepError({ code: ErrorCode.Invalid, step: 'read-peer-records', peer, message: `cannot be unpacked: ${(thrown as Error).message.slice(0, 200)}` }))
  }
}
