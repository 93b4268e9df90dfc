import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { ExchangeContent } from '../../../../src/common/entry/exchange/exchangeRow.js'
import { OverloadReplay, type ReplayOptions, type Stream } from './overloadReplay.js'

const SEEDS = [20261204, 20261205, 20261206, 20261207]
const BURST_FROM_MS = 3_000
const BURST_TO_MS = 9_000
const OPTIONS = { slots: 30, vms: 10, durationMs: BURST_TO_MS, countFromMs: BURST_FROM_MS + 500 }
/** The rules allow a kind to be served less often than a less urgent one by this much. */
const PRIORITY_TOLERANCE = 0.05

/** 30 slots serve 100 requests a second; 70 and 20 a second leave a tenth of the room free. */
function listKinds (factor: number, overflowRate = 20): Stream[] {
  const getFactor = (at: number): number => at >= BURST_FROM_MS && at < BURST_TO_MS ? factor : 1
  return [
    { name: 'urgent', priority: 1, goalMs: 700, getRate: (at) => 70 * getFactor(at) },
    { name: 'overflow', priority: 2, goalMs: 1_500, getRate: (at) => overflowRate * getFactor(at) }
  ]
}

/** The first account sends a multiple of its usual for 6 s. */
function listAccounts (count: number, perSecond: number, factor: number): Stream[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `account-${index}`,
    account: `account-${index}`,
    priority: 1,
    goalMs: 700,
    getRate: (at) => perSecond * (index === 0 && at >= BURST_FROM_MS ? factor : 1)
  }))
}

/** @returns the part of the requests of all accounts but the first that was served */
function getQuietRatio (replay: OverloadReplay): number {
  const quiet = [...replay.tallies].filter(([name]) => name !== 'account-0').map(([, tally]) => tally)
  return quiet.reduce((sum, { served }) => sum + served, 0) / quiet.reduce((sum, { asked }) => sum + asked, 0)
}

function runReplay (streams: readonly Stream[], seed: number, options: Partial<ReplayOptions> = {}): OverloadReplay {
  return new OverloadReplay(streams, { ...OPTIONS, seed, ...options }).run()
}

function countYields (played: OverloadReplay): number {
  return [...played.tallies.values()].reduce((sum, { yielded, overShare }) => sum + yielded + overShare, 0)
}

describe('admission by rank during a burst of 1.7 to 2.2 times', () => {
  for (const factor of [1.7, 2.2]) {
    for (const seed of SEEDS) {
      it(`serves urgent requests no less often than overflow at ${factor} times, seed ${seed}`, () => {
        const played = runReplay(listKinds(factor), seed)
        assert.ok(played.getServedRatio('urgent') >= played.getServedRatio('overflow') - PRIORITY_TOLERANCE, JSON.stringify([...played.tallies]))
        assert.ok(played.getServedRatio('urgent') > runReplay(listKinds(factor), seed, { isGated: false }).getServedRatio('urgent') + 0.1)
      })
    }
  }

  it('refuses no more than needed', () => {
    const countServed = (played: OverloadReplay): number => [...played.tallies.values()].reduce((sum, { served }) => sum + served, 0)
    for (const seed of SEEDS) assert.ok(countServed(runReplay(listKinds(2.2), seed)) >= 0.95 * countServed(runReplay(listKinds(2.2), seed, { isGated: false })))
  })

  it('does not starve the less urgent kind', () => {
    // Guards against a kind that is served less than a quarter as often as all requests.
    for (const seed of SEEDS) {
      const played = runReplay(listKinds(2.2), seed)
      const all = [...played.tallies.values()].reduce((sum, { served }) => sum + served, 0) / [...played.tallies.values()].reduce((sum, { asked }) => sum + asked, 0)
      assert.ok(played.getServedRatio('overflow') >= all / 4, JSON.stringify([...played.tallies]))
    }
  })

  it('limits nobody while there is room', () => {
    for (const seed of SEEDS) {
      const played = runReplay(listKinds(1), seed, { slots: 60 })
      assert.equal(countYields(played), 0)
    }
    for (const seed of SEEDS) {
      for (const { refusedWithRoom } of runReplay(listKinds(2.2), seed).tallies.values()) assert.equal(refusedWithRoom, 0)
    }
  })

  it('decides as without ranks where one priority occurs', () => {
    for (const seed of SEEDS) {
      const streams = listKinds(2.2).slice(0, 1)
      assert.equal(countYields(runReplay(streams, seed)), 0)
    }
  })

  it('keeps the order of priorities while workers refuse 55 % for 8 s', () => {
    // Workers refuse by chance, so the ratios of one play vary by more than the tolerance.
    const seeds = Array.from({ length: 16 }, (_, index) => SEEDS[0]! + index)
    const played = seeds.map((seed) => runReplay(listKinds(1.7), seed, { durationMs: 11_000, getRefusedRatio: (at) => at >= BURST_FROM_MS ? 0.55 : 0 }))
    const getMean = (name: string): number => played.reduce((sum, each) => sum + each.getServedRatio(name), 0) / played.length
    assert.ok(getMean('urgent') >= getMean('overflow') - PRIORITY_TOLERANCE, `${getMean('urgent')} and ${getMean('overflow')}`)
  })
})

describe('fair shares beside an account that sends many times its usual', () => {
  for (const seed of SEEDS) {
    it(`serves quiet accounts as without it, 20 accounts, seed ${seed}`, () => {
      const options = { countFromMs: BURST_FROM_MS + 1_500 }
      const without = getQuietRatio(runReplay(listAccounts(20, 4, 1), seed, options))
      const beside = runReplay(listAccounts(20, 4, 8), seed, options)
      assert.ok(getQuietRatio(beside) >= without - 0.05, `${getQuietRatio(beside)} beside it, ${without} without it`)
      // Its fair share is what one of 20 accounts may have of the 100 requests a second that there is room for.
      const { asked, served } = beside.tallies.get('account-0')!
      assert.ok(served >= 0.9 * asked * 5 / 32, JSON.stringify(beside.tallies.get('account-0')))
      for (const [name, { overShare }] of beside.tallies) if (name !== 'account-0') assert.equal(overShare, 0, name)
    })

    it(`refuses none of 77 like accounts as over its share, seed ${seed}`, () => {
      assert.equal(countYields(runReplay(listAccounts(77, 2, 1), seed)), 0)
    })
  }

  it('finds the account without the exchange where one VM has enough requests', () => {
    const played = runReplay(listAccounts(20, 4, 8), SEEDS[0]!, { vms: 1, hasExchange: false })
    assert.ok(played.tallies.get('account-0')!.overShare > 0)
  })
})

describe('admission by rank when what VMs tell is missing or wrong', () => {
  const ABSURD: Readonly<Record<string, (content: ExchangeContent, domain: string, at: number) => ExchangeContent | undefined>> = {
    'one failure domain is cut off': (content, domain) => domain === 'd-0' ? undefined : content,
    'rows stop': (content, _, at) => at > 4_000 ? undefined : content,
    'rows are no usage': () => 'absurd',
    'rows claim that one quiet account asks for everything': () => [['catalogue', 1, 900_000, 900_000, 900_000, [['account-3', 900_000]]]],
    'rows claim that urgent requests are never served': () => [['catalogue', 0, 900_000, 900_000, 0, []]]
  }

  for (const [name, changeRow] of Object.entries(ABSURD)) {
    it(`never refuses while there is room, nor all of an account: ${name}`, () => {
      for (const seed of SEEDS) {
        const played = runReplay([...listAccounts(20, 4, 8), ...listKinds(1.7, 5).slice(1)], seed, { changeRow })
        for (const [stream, { asked, served, refusedWithRoom }] of played.tallies) {
          assert.equal(refusedWithRoom, 0, stream)
          assert.ok(asked < 20 || served > 0, `${stream}: ${served} of ${asked}`)
        }
        assert.equal(countYields(runReplay(listAccounts(20, 4, 1), seed, { changeRow, slots: 60 })), 0)
      }
    })
  }

  it('keeps quiet accounts served while most VMs restart', () => {
    // Guards against taking a VM that knows nothing for one without demand.
    for (const seed of SEEDS) {
      const options = { countFromMs: BURST_FROM_MS + 1_500, listRestarts: (at: number) => at === 6_000 ? [0, 1, 2, 3, 4, 5, 6, 7] : [] }
      const without = getQuietRatio(runReplay(listAccounts(20, 4, 1), seed, options))
      const beside = getQuietRatio(runReplay(listAccounts(20, 4, 8), seed, options))
      assert.ok(beside >= without - 0.08, `${beside} beside it, ${without} without it`)
    }
  })
})
