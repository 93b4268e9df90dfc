import assert from 'node:assert/strict'
import { it } from 'node:test'
import fc from 'fast-check'
import { formatRelayOrigin, formatRelayResult, parseRelayOrigin, parseRelayResult, RelayOutcome } from '../../../src/common/relayFields.js'

const SEED = 520_003
const name = fc.string({ minLength: 1, maxLength: 30, unit: 'grapheme' })

it('reads what it wrote about a relayed request, whatever the names are', () => {
  fc.assert(fc.property(fc.nat({ max: 20 }), name, fc.array(name, { maxLength: 20 }), (attempts, service, excludedWorkers) => {
    assert.deepEqual(parseRelayOrigin(formatRelayOrigin({ attempts, service, excludedWorkers })), { attempts, service, excludedWorkers })
  }), { seed: SEED })
})

it('reads what it wrote about the end of a relayed request', () => {
  const announcement = fc.record({ worker: name, isDraining: fc.boolean(), coolDownMs: fc.integer({ min: 1, max: 60_000 }) }).map((each) => ({ ...each, coolDownMs: each.isDraining ? 0 : each.coolDownMs }))
  fc.assert(fc.property(fc.constantFrom(...Object.values(RelayOutcome)), fc.array(announcement, { maxLength: 5 }), (outcome, announcements) => {
    assert.deepEqual(parseRelayResult(formatRelayResult({ outcome, announcements })), { outcome, announcements })
  }), { seed: SEED })
})

// Guards against a response of another build that is taken for a worker's.
it('takes a response without the field, or with another value, for one that has not run', () => {
  for (const value of [undefined, '', 'yes', 'Answered']) assert.equal(parseRelayResult(value).outcome, RelayOutcome.Unable)
})

it('reads no request from text that is none', () => {
  for (const value of [undefined, '', '1', 'x archive', '-1 archive', '1 archive a b']) assert.equal(parseRelayOrigin(value), undefined)
})
