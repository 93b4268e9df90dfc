/**
 * Runs every compiled test file of the workspace, or those whose path contains
 * one of the given words: `npm test -- steering/test/common/plan`.
 */
import { spawnSync } from 'node:child_process'
import { globSync } from 'glob'
import { fileURLToPath } from 'node:url'
import { matchesWords } from './testWords.mjs'

const root = fileURLToPath(new URL('..', import.meta.url))
const words = process.argv.slice(2)
const files = [
  ...globSync('packages/*/dist/test/**/*.test.js', { cwd: root }),
  ...globSync('platform/dist/test/**/*.test.js', { cwd: root }),
  ...globSync('scripts/test/**/*.test.mjs', { cwd: root })
]
  .filter((file) => matchesWords(file, words))
  .sort()
if (files.length === 0) {
  process.stderr.write(`no test file matches: ${words.join(' ')}\n`)
  process.exit(1)
}
const result = spawnSync(process.execPath, ['--test', '--test-concurrency=4', ...files], { cwd: root, stdio: 'inherit' })
process.exit(result.status ?? 1)
