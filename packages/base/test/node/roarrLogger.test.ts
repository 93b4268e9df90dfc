import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LogLevel } from '../../src/common/logger.js'
import { createRoarrLogger } from '../../src/node/roarrLogger.js'

// An operator starts a daemon with a wrong settings file: it ends with exit code 2
// and not a word, because roarr stays silent unless the environment turns it on.
test('lines are written without any environment variable, as JSON, from the lowest level on', () => {
  const lines: string[] = []
  const logger = createRoarrLogger(LogLevel.Info, (line) => { lines.push(line) }).createChild({ node: 'entry-1' })
  logger.log(LogLevel.Debug, { step: 'a' }, 'unseen')
  logger.log(LogLevel.Error, { step: 'b', peer: 'p' }, '100% of it')
  const [line, ...others] = lines.map((text) => JSON.parse(text) as { context: object, message: string })
  assert.deepEqual(others, [])
  assert.equal(line?.message, '100% of it')
  assert.deepEqual({ ...line?.context }, { node: 'entry-1', step: 'b', peer: 'p', logLevel: 50 })
})
