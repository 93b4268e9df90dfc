/**
 * Runs the compiled test files of the workspace, or those whose path contains one of
 * the given words: `npm test -- steering/test/common/plan`. The seeded runs of real processes under faults,
 * which take minutes, are left out unless a word names them; `--soak` runs only these. Succeeds if every failed
 * test is listed in KNOWN-RED.txt.
 */
import { spawnSync } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { globSync } from 'glob'
import { fileURLToPath } from 'node:url'
import { listFailedTests, readKnownRed } from './knownRed.mjs'
import { matchesWords } from './testWords.mjs'

const root = fileURLToPath(new URL('..', import.meta.url))
const isSoak = process.argv[2] === '--soak'
const words = process.argv.slice(isSoak ? 3 : 2)
/** The seeded runs of real processes under faults. */
const SOAK_RUN = /^packages\/soak\/.*Run\.test\.js$/
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
 * @returns whether tests failed and all of them are known to fail, so that the run may succeed
 */
function reportKnownFailures (report) {
  const failed = new Set(listFailedTests(report))
  const knownTests = readKnownRed(join(root, 'KNOWN-RED.txt'))
  for (const { name, line } of knownTests) {
    process.stdout.write(`known failure${failed.has(name) ? '' : ' (passed in this run)'}: ${line}\n`)
  }
  const knownNames = new Set(knownTests.map(({ name }) => name))
  return failed.size > 0 && [...failed].every((name) => knownNames.has(name))
}

const folder = mkdtempSync(join(tmpdir(), 'umberspar-tests-'))
const report = join(folder, 'report.tap')
const reporters = ['--test-reporter=spec', '--test-reporter-destination=stdout', '--test-reporter=tap', `--test-reporter-destination=${report}`]
const result = spawnSync(process.execPath, ['--test', '--test-concurrency=4', ...reporters, ...files], { cwd: root, stdio: 'inherit' })
const areFailuresKnown = result.status !== 0 && reportKnownFailures(readFileSync(report, 'utf8'))
rmSync(folder, { recursive: true })
process.exit(areFailuresKnown ? 0 : result.status ?? 1)
