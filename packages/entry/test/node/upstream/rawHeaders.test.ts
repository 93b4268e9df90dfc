import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { removeConnectionFields } from '../../../src/node/upstream/rawHeaders.js'

const NOTHING: ReadonlySet<string> = new Set()

describe('the fields for the next hop', () => {
  it('are without those that any of several Connection fields lists', () => {
    const fields = ['Connection', 'keep-alive', 'X-A', '1', 'Connection', 'x-a, X-B', 'X-B', '2', 'X-C', '3']
    assert.deepEqual(removeConnectionFields(fields, NOTHING, NOTHING), ['X-C', '3'])
  })

  it('keep those that a Connection field may not remove', () => {
    const fields = ['Connection', 'cookie, x-id, host', 'Cookie', 'a=b', 'X-Id', '1', 'Host', 'a']
    assert.deepEqual(removeConnectionFields(fields, NOTHING, new Set(['x-id'])), ['Cookie', 'a=b', 'X-Id', '1', 'Host', 'a'])
  })
})
