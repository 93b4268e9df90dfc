import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LogLevel } from '../../src/common/logger.js'
import { createRoarrLogger } from '../../src/node/roarrLogger.js'

// Guards against a daemon that logs nothing because roarr is disabled unless an environment
// variable enables it: with an invalid settings file it exited with code 2 without a message.
test('lines from the lowest level on are written as JSON without any environment variable', () => {
  const lines: string[] = []
  const logger = createRoarrLogger(LogLevel.Info, (line) => { lines.push(line) }).createChild({ node: 'entry-1' })
  logger.log(LogLevel.Debug, { step: 'a' }, 'unseen')
  logger.log(LogLevel.Error, { step: 'b', peer: 'p' }, '100% of it')
  const [line, ...others] = lines.map((text) => JSON.parse(text) as { context: object, message: string })
  assert.deepEqual(others, [])
  assert.equal(line?.message, '100% of it')
  assert.deepEqual({ ...line?.context }, { node: 'entry-1', step: 'b', peer: 'p', logLevel: 50 })
})
