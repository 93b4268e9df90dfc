import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { computeKeyDigest, readCallerKey } from '../../../src/node/accounts/callerKey.js'

const SEED = 20261203

describe('the key that a caller sends', () => {
  it('is read from one Bearer field, in any case and with any spaces around it', () => {
    for (const value of ['Bearer k1', 'bearer k1', 'BEARER   k1', '  Bearer k1  ']) {
      assert.equal(readCallerKey(['Host', 'h', 'aUTHORIZATION', value]), 'k1', value)
    }
  })

  it('is undefined for another scheme, and for a key that is missing, contains spaces or is too long', () => {
    for (const value of ['Basic azE=', 'Bearer', 'Bearer ', 'k1', 'Bearerk1', 'Bearer k1 k2', `Bearer ${'k'.repeat(8_192)}`]) {
      assert.equal(readCallerKey(['Authorization', value]), undefined, value.slice(0, 20))
    }
    assert.equal(readCallerKey(['Host', 'h']), undefined)
  })

  it('is undefined if the header occurs more than once', () => {
    // Guards against one server using the first header and another one the last, so that the
    // request runs for one account and is counted for another.
    assert.equal(readCallerKey(['Authorization', 'Bearer k1', 'authorization', 'Bearer k2']), undefined)
    assert.equal(readCallerKey(['Authorization', 'Bearer k1', 'Authorization', 'Bearer k1']), undefined)
  })

  it('is found among any other headers, which are never mistaken for it', () => {
    const name = fc.string({ minLength: 1, maxLength: 15 }).filter((text) => text.toLowerCase() !== 'authorization')
    const field = fc.tuple(name, fc.string())
    const key = fc.string({ minLength: 1, maxLength: 40 }).filter((text) => /^\S+$/.test(text))
    fc.assert(fc.property(fc.array(field), fc.array(field), key, (before, after, sent) => {
      assert.equal(readCallerKey([...before.flat(), 'Authorization', `Bearer ${sent}`, ...after.flat()]), sent)
      assert.equal(readCallerKey([...before.flat(), ...after.flat()]), undefined)
    }), { seed: SEED })
  })

  it('has a digest that does not reveal it', () => {
    assert.notEqual(computeKeyDigest('k1'), computeKeyDigest('k2'))
    assert.doesNotMatch(computeKeyDigest('a-long-key-of-a-caller'), /a-long-key/)
  })
})
