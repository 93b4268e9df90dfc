/**
 * Reads KNOWN-RED.txt at the root, the list of tests that fail because of a real fault
 * that is not fixed yet. Each line has the form
 * `test name | command and seed | observed failure | cause | issue`.
 */
import { existsSync, readFileSync } from 'node:fs'

const FIELD_SEPARATOR = '|'
const COMMENT_PREFIX = '#'
const FIELD_COUNT = 5

/**
 * @param {string} file path of the list; a missing file counts as an empty list
 * @returns {{ name: string, line: string }[]} the listed tests
 */
export function readKnownRed (file) {
  if (!existsSync(file)) return []
  return readFileSync(file, 'utf8').split('\n')
    .map((line) => line.trim())
    .filter((line) => line !== '' && !line.startsWith(COMMENT_PREFIX))
    .map((line) => {
      const fields = line.split(FIELD_SEPARATOR).map((field) => field.trim())
      if (fields.length !== FIELD_COUNT || fields.some((field) => field === '')) throw new Error(`KNOWN-RED.txt: expected five fields: ${line}`)
      return { name: fields[0], line }
    })
}

/**
 * @param {string} tap the report of a test run in TAP format
 * @returns {string[]} the names of the failed tests, without those that failed only because of a subtest
 */
export function listFailedTests (tap) {
  const lines = tap.split('\n')
  const failed = []
  for (const [index, line] of lines.entries()) {
    const name = /^\s*not ok \d+ - (.*?)( # .*)?$/.exec(line)?.[1]
    if (name === undefined) continue
    const end = lines.findIndex((other, otherIndex) => otherIndex > index && /^\s*\.\.\.$/.test(other))
    const details = lines.slice(index, end < 0 ? undefined : end)
    if (!details.some((detail) => detail.includes('failureType: \'subtestsFailed\''))) failed.push(name)
  }
  return failed
}

/**
 * @param {string} tap the report of a test run in TAP format
 * @returns {string[]} the names of the tests that were run, whether they failed or not
 */
export function listRunTests (tap) {
  return tap.split('\n').flatMap((line) => /^\s*(?:not )?ok \d+ - (.*?)(?: # .*)?$/.exec(line)?.[1] ?? [])
}

/**
 * @param {{ name: string, line: string }} test a listed test
 * @param {ReadonlySet<string>} run the names of the tests that were run
 * @param {ReadonlySet<string>} failed the names of the tests that failed
 * @returns {string} the line of the report about the test
 */
export function formatKnownRed ({ name, line }, run, failed) {
  if (!run.has(name)) return `known failure (not run): ${line}`
  return `known failure${failed.has(name) ? '' : ' (passed in this run)'}: ${line}`
}
