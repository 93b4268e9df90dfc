import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { AccountTable, computeHomeRegions } from '../../../src/common/entry/accountTable.js'
import { type AccessDecision, type AccessBounds, AccessOutcome, decideAccess } from '../../../src/common/entry/decideAccess.js'
import { type AccountPolicy, RouteKind, type RoutePolicy } from '../../../src/common/entry/steeringDocument.js'

const SEED = 20261203
const BOUNDS: AccessBounds = { maxAgeToRunMs: 4_500, maxAgeToDenyMs: 3_000, maxAgeToRunHomedMs: 2_700 }
const ROUTE: RoutePolicy = { name: 'r', host: 'h', prefix: '/', kind: RouteKind.Idempotent, parts: [], timeoutMs: 1, goalMs: 1, attempts: 1, priority: 1, isSticky: false, homeRegions: [], isOpen: false }

function createAccount (name: string, keyDigests: readonly string[], homeRegions: readonly string[] = []): AccountPolicy {
  return { name, keyDigests, priority: undefined, quota: undefined, homeRegions }
}

const ACCOUNTS = new AccountTable([createAccount('a', ['d1', 'd2']), createAccount('b', ['d3'])])

describe('access by key', () => {
  it('allows the request for the account that holds the key, while the records are proven to be fresh', () => {
    assert.equal(decideAccess({ accounts: ACCOUNTS, route: ROUTE, keyDigest: 'd2', proofAgeMs: 4_500 }, BOUNDS).account?.name, 'a')
    assert.deepEqual(decideAccess({ accounts: ACCOUNTS, route: ROUTE, keyDigest: 'd2', proofAgeMs: 4_501 }, BOUNDS), { outcome: AccessOutcome.RecordsStale } satisfies AccessDecision)
  })

  it('reports a key as unknown only while the records are fresh enough', () => {
    // Guards against a VM that is cut off and denies a key that was just added: it returned 401, which callers
    // do not retry, for a key that is valid in every configuration in force.
    assert.equal(decideAccess({ accounts: ACCOUNTS, route: ROUTE, keyDigest: 'new', proofAgeMs: 3_000 }, BOUNDS).outcome, AccessOutcome.KeyUnknown)
    assert.equal(decideAccess({ accounts: ACCOUNTS, route: ROUTE, keyDigest: 'new', proofAgeMs: 3_001 }, BOUNDS).outcome, AccessOutcome.RecordsStale)
    assert.equal(decideAccess({ accounts: ACCOUNTS, route: ROUTE, keyDigest: undefined, proofAgeMs: Infinity }, BOUNDS).outcome, AccessOutcome.RecordsStale)
  })

  it('needs no key on open routes and where there are no accounts', () => {
    const open = { ...ROUTE, isOpen: true }
    assert.deepEqual(decideAccess({ accounts: ACCOUNTS, route: open, keyDigest: 'unknown', proofAgeMs: Infinity }, BOUNDS), { outcome: AccessOutcome.Allowed, account: undefined } satisfies AccessDecision)
    assert.equal(decideAccess({ accounts: ACCOUNTS, route: open, keyDigest: 'd3', proofAgeMs: 0 }, BOUNDS).account?.name, 'b')
    assert.deepEqual(decideAccess({ accounts: undefined, route: ROUTE, keyDigest: undefined, proofAgeMs: Infinity }, BOUNDS), { outcome: AccessOutcome.Allowed } satisfies AccessDecision)
  })

  it('reports all keys as unknown for an account whose keys were all revoked', () => {
    const accounts = new AccountTable([createAccount('a', [])])
    assert.equal(decideAccess({ accounts, route: ROUTE, keyDigest: 'd1', proofAgeMs: 0 }, BOUNDS).outcome, AccessOutcome.KeyUnknown)
  })
})

describe('home regions of route and account', () => {
  it('allow a request only while the records are proven to be fresh, with or without accounts', () => {
    // Guards against requests that run outside home regions that changed while their VM was cut off.
    const homed = { ...ROUTE, homeRegions: ['north'] }
    const accounts = new AccountTable([createAccount('a', ['d1'], ['north'])])
    const cases = [
      { accounts: undefined, route: homed, keyDigest: undefined },
      { accounts, route: homed, keyDigest: 'd1' },
      { accounts, route: ROUTE, keyDigest: 'd1' },
      { accounts, route: { ...ROUTE, isOpen: true }, keyDigest: 'd1' }
    ]
    for (const request of cases) {
      assert.equal(decideAccess({ ...request, proofAgeMs: 2_700 }, BOUNDS).outcome, AccessOutcome.Allowed)
      assert.equal(decideAccess({ ...request, proofAgeMs: 2_701 }, BOUNDS).outcome, AccessOutcome.RecordsStale)
    }
    assert.equal(decideAccess({ accounts: undefined, route: ROUTE, keyDigest: undefined, proofAgeMs: Infinity }, BOUNDS).outcome, AccessOutcome.Allowed)
  })

  it('both apply, in any combination', () => {
    const regions = fc.uniqueArray(fc.constantFrom<string>('north', 'south', 'east'))
    fc.assert(fc.property(regions, regions, (routeHomes, accountHomes) => {
      const homes = computeHomeRegions({ ...ROUTE, homeRegions: routeHomes }, createAccount('a', [], accountHomes))
      for (const region of ['north', 'south', 'east']) {
        const isAllowed = [routeHomes, accountHomes].every((list) => list.length === 0 || list.includes(region))
        assert.equal(homes !== undefined && (homes.length === 0 || homes.includes(region)), isAllowed)
      }
    }), { seed: SEED })
  })
})
