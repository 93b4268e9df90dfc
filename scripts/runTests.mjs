/**
 * Runs the compiled test files of the workspace, or those whose path contains one of
 * the given words: `npm test -- steering/test/common/plan`. The seeded runs of real processes under faults,
 * which take minutes, are left out unless a word names them; `--soak` runs only these. Trials of processes under
 * crowds of clients measure memory and descriptors: they run after all others, one at a time. Succeeds if every
 * failed test is listed in KNOWN-RED.txt.
 */
import { spawnSync } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { globSync } from 'glob'
import { fileURLToPath } from 'node:url'
import { formatKnownRed, listFailedTests, listRunTests, readKnownRed } from './knownRed.mjs'
import { matchesWords } from './testWords.mjs'

const root = fileURLToPath(new URL('..', import.meta.url))
const isSoak = process.argv[2] === '--soak'
const words = process.argv.slice(isSoak ? 3 : 2)
/** The seeded runs of real processes under faults. */
const SOAK_RUN = /^packages\/soak\/.*Run\.test\.js$/
/** Trials that need the machine for themselves. */
const TRIAL = /\/clients\//
const CONCURRENCY = 4
const files = [
  ...globSync('packages/*/dist/test/**/*.test.js', { cwd: root }),
  ...globSync('platform/dist/test/**/*.test.js', { cwd: root }),
  ...globSync('scripts/test/**/*.test.mjs', { cwd: root })
]
  .filter((file) => matchesWords(file, words) && (words.length > 0 && !isSoak ? true : SOAK_RUN.test(file) === isSoak))
  .sort()
if (files.length === 0) {
  process.stderr.write(`no test file matches: ${words.join(' ')}\n`)
  process.exit(1)
}

/**
 * Prints the tests that are known to fail.
 * @returns whether all failed tests are known to fail, so that the run may succeed
 */
function reportKnownFailures (reports) {
  const failed = new Set(reports.flatMap(listFailedTests))
  const run = new Set(reports.flatMap(listRunTests))
  const knownTests = readKnownRed(join(root, 'KNOWN-RED.txt'))
  for (const test of knownTests) process.stdout.write(`${formatKnownRed(test, run, failed)}\n`)
  const knownNames = new Set(knownTests.map(({ name }) => name))
  return failed.size > 0 && [...failed].every((name) => knownNames.has(name))
}

const folder = mkdtempSync(join(tmpdir(), 'umberspar-tests-'))

/** @returns the exit code of the run and its report; undefined if there is nothing to run */
function runFiles (selected, concurrency) {
  if (selected.length === 0) return undefined
  const report = join(folder, `${concurrency}.tap`)
  const reporters = ['--test-reporter=spec', '--test-reporter-destination=stdout', '--test-reporter=tap', `--test-reporter-destination=${report}`]
  const { status } = spawnSync(process.execPath, ['--test', `--test-concurrency=${concurrency}`, ...reporters, ...selected], { cwd: root, stdio: 'inherit' })
  return { status, report: readFileSync(report, 'utf8') }
}

const runs = [
  runFiles(files.filter((file) => !TRIAL.test(file)), CONCURRENCY),
  runFiles(files.filter((file) => TRIAL.test(file)), 1)
].filter((run) => run !== undefined)
rmSync(folder, { recursive: true })
const failedRun = runs.find(({ status }) => status !== 0)
const areFailuresKnown = failedRun !== undefined && reportKnownFailures(runs.map(({ report }) => report))
process.exit(areFailuresKnown ? 0 : failedRun === undefined ? 0 : failedRun.status ?? 1)
