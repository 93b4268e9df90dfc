/**
 * Tests that fail for a real fault that is not mended yet: KNOWN-RED.txt at the
 * root, a line each: `test name | command and seed | what was seen | cause | issue`.
 */
import { existsSync, readFileSync } from 'node:fs'

const SEPARATOR = '|'
const COMMENT = '#'
const FIELDS = 5

/**
 * @param {string} file the list's path; a missing file lists nothing
 * @returns {{ name: string, line: string }[]} the listed tests
 */
export function readKnownRed (file) {
  if (!existsSync(file)) return []
  return readFileSync(file, 'utf8').split('\n')
    .map((line) => line.trim())
    .filter((line) => line !== '' && !line.startsWith(COMMENT))
    .map((line) => {
      const fields = line.split(SEPARATOR).map((field) => field.trim())
      if (fields.length !== FIELDS || fields.some((field) => field === '')) throw new Error(`KNOWN-RED.txt: expected five fields: ${line}`)
      return { name: fields[0], line }
    })
}

/**
 * @param {string} tap the report of a run in the TAP format
 * @returns {string[]} the names of the tests that failed by themselves, not by their parts
 */
export function listFailedTests (tap) {
  const lines = tap.split('\n')
  const failed = []
  for (const [index, line] of lines.entries()) {
    const name = /^\s*not ok \d+ - (.*?)( # .*)?$/.exec(line)?.[1]
    if (name === undefined) continue
    const end = lines.findIndex((other, at) => at > index && /^\s*\.\.\.$/.test(other))
    const details = lines.slice(index, end < 0 ? undefined : end)
    if (!details.some((detail) => detail.includes('failureType: \'subtestsFailed\''))) failed.push(name)
  }
  return failed
}
