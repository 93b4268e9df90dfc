import assert from 'node:assert/strict'
import { spawnSync } from 'node:child_process'
import { it } from 'node:test'
import { fileURLToPath } from 'node:url'

const PROGRAM = fileURLToPath(new URL('./overdueRun.js', import.meta.url))
const KILL_AFTER_MS = 20_000

// Guards against a series of runs that stands still because one of them never ends.
it('reports a run that does not end, with its seed, and fails', { timeout: 60_000 }, () => {
  const { status, stderr } = spawnSync(process.execPath, [PROGRAM], { timeout: KILL_AFTER_MS, encoding: 'utf8' })
  assert.equal(status, 2)
  assert.match(stderr, /^seed 7: failed, not ended/)
})
