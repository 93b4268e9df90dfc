import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SeededRandom } from '@umberspar/base/common/random'
import { FleetUsage } from '../../../../src/common/entry/admission/fleetUsage.js'
import type { RequestRank } from '../../../../src/common/entry/admission/requestRank.js'
import { GateOutcome, ServiceGate } from '../../../../src/common/entry/admission/serviceGate.js'
import { encodeUsage, USAGE_VALIDITY_MS } from '../../../../src/common/entry/admission/usageContent.js'
import { type ExchangeRow, ExchangeTopic } from '../../../../src/common/entry/exchange/exchangeRow.js'

const NO_ROOM = { saturation: 1, onTimeProbability: 0 }
const STEP_MS = 50

function createRank (priority: number, account?: string, hasReturned = false): RequestRank {
  return { priority, account, hasReturned }
}

function createGate (rows: readonly ExchangeRow[] = []): ServiceGate {
  const exchange = { listRows: (topic: ExchangeTopic) => rows.filter((row) => row.topic === topic) }
  return new ServiceGate('desk', new FleetUsage(exchange, 'north-1'), new SeededRandom(1), () => 1)
}

/** Has requests of some ranks find no room, and counts what became of them. */
function runWithoutRoom (gate: ServiceGate, ranks: readonly RequestRank[], rounds = 200, from = 0): Map<string, number> {
  const counts = new Map<string, number>()
  for (let round = 0; round < rounds; round++) {
    for (const rank of ranks) {
      const { outcome } = gate.decide(rank, NO_ROOM, from + round * STEP_MS)
      const name = `${rank.priority} ${rank.account} ${outcome}`
      counts.set(name, (counts.get(name) ?? 0) + 1)
    }
  }
  return counts
}

describe('the gate of a service', () => {
  // Guards against urgent uploads that are refused before their body is read while less urgent requests are served.
  it('has less urgent requests yield to those that were found to have no room beforehand', () => {
    const gate = createGate()
    for (let round = 0; round < 40; round++) gate.recordUnserved(createRank(1), { saturation: 1, onTimeProbability: undefined }, round * STEP_MS)
    const { asked, owed, served } = gate.readUsage(40 * STEP_MS).get(1)!
    assert.ok(asked > 20 && owed === asked && served === 0)
    const outcomes = Array.from({ length: 40 }, () => gate.decide(createRank(5), { saturation: 1, onTimeProbability: undefined }, 40 * STEP_MS).outcome)
    assert.ok(outcomes.filter((outcome) => outcome === GateOutcome.PriorityYielded).length >= 30)
  })

  it('admits all as soon as there is room', () => {
    const gate = createGate()
    runWithoutRoom(gate, [createRank(1), createRank(5)])
    for (let index = 0; index < 20; index++) assert.equal(gate.decide(createRank(5), { saturation: 0.89, onTimeProbability: 0 }, 10_000 + index).outcome, GateOutcome.Admitted)
  })

  it('admits all where one priority occurs, and later where the others have ceased', () => {
    const gate = createGate()
    assert.deepEqual([...runWithoutRoom(gate, [createRank(5)])], [['5 undefined admitted', 200]])
    runWithoutRoom(gate, [createRank(1), createRank(5)], 20, 10_000)
    assert.deepEqual([...runWithoutRoom(gate, [createRank(5)], 200, 14_500)], [['5 undefined admitted', 200]])
  })

  it('has the least urgent yield, but not all of them', () => {
    const counts = runWithoutRoom(createGate(), [createRank(0), createRank(4), createRank(9)])
    assert.equal(counts.get('0 undefined admitted'), 200)
    assert.ok(counts.get('9 undefined admitted')! >= 50)
    assert.ok(counts.get('9 undefined admitted')! <= counts.get('4 undefined admitted')!)
  })

  it('serves urgent requests no less often where only these are refused later', () => {
    // Guards against urgent requests with a short goal that are refused as late while others take the slots.
    const gate = createGate()
    let served = 0
    let admitted = 0
    for (let at = 0; at < 20_000; at += STEP_MS) {
      gate.decide(createRank(0), { saturation: 1, onTimeProbability: 0.6 }, at)
      if (at % (5 * STEP_MS) === 0) served++
      else gate.recordRefusal(0, at)
      if (gate.decide(createRank(7), { saturation: 1, onTimeProbability: 0.6 }, at).outcome === GateOutcome.Admitted) admitted++
    }
    // The first requests are admitted before anything is known.
    assert.ok(admitted <= 1.4 * served, `${admitted} admitted, ${served} more urgent ones served`)
  })

  it('admits callers that came back before first arrivals, and no more in the long run', () => {
    const [gate, reference] = [createGate(), createGate()]
    const mixed = runWithoutRoom(gate, [createRank(1), createRank(5)])
    const returned = runWithoutRoom(reference, [createRank(1), createRank(5, undefined, true)])
    assert.ok(Math.abs(returned.get('5 undefined admitted')! - mixed.get('5 undefined admitted')!) <= 2, JSON.stringify([...mixed, ...returned]))
    gate.decide(createRank(5), NO_ROOM, 20_000)
    assert.equal(gate.decide(createRank(5, undefined, true), NO_ROOM, 20_000).outcome, GateOutcome.Admitted)
  })

  it('learns from other VMs which account is over its share, and forgets it when they are silent', () => {
    const accounts = new Map(Array.from({ length: 20 }, (_, index) => [`account-${index}`, index === 0 ? 160 : 20]))
    const content = encodeUsage(new Map([['desk', new Map([[1, { asked: 540, owed: 540, served: 540, accounts }]])]]))!
    const rows = [{ topic: ExchangeTopic.DomainUsage, key: 'south-1', content, at: 0 }]
    const ranks = [createRank(1, 'account-0'), createRank(1, 'account-1')]
    const counts = runWithoutRoom(createGate(rows), ranks, 70)
    assert.ok(counts.get('1 account-0 account-over-share')! > 20)
    assert.ok(counts.get('1 account-0 admitted')! > 0)
    assert.equal(counts.get('1 account-1 admitted'), 70)
    const silent = runWithoutRoom(createGate(rows), ranks, 70, 2 * USAGE_VALIDITY_MS)
    assert.equal(silent.get('1 account-0 admitted'), 70)
  })

  it('tells what a refusal is based on', () => {
    const accounts = new Map([['account-0', 200], ['account-1', 20], ['account-2', 20]])
    const content = encodeUsage(new Map([['desk', new Map([[1, { asked: 240, owed: 240, served: 240, accounts }]])]]))!
    const gate = createGate([{ topic: ExchangeTopic.DomainUsage, key: 'south-1', content, at: 0 }])
    runWithoutRoom(gate, [createRank(1, 'account-0')], 40)
    const decision = gate.decide(createRank(1, 'account-0'), NO_ROOM, 2_000)
    assert.ok(decision.accountUse! > decision.accountShare! && decision.accountUse! <= 1)
    assert.equal(decision.knowledgeAgeMs! > 0 && decision.knowledgeAgeMs! <= 2_000, true)
    assert.deepEqual(gate.listOverShare(2_000).map(({ account, priority }) => [account, priority]), [['account-0', 1]])
    assert.deepEqual(gate.listOverShare(20_000), [], 'it is not listed after the shortage')
  })
})
