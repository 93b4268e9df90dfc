/** Checks that no worker gets more requests than it has slots while entry VMs join, leave, restart and lose messages. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { type Limits, LimitSimulation, MAX_REQUEST_MS, NODE_IDS } from './limitSimulation.js'

const SEED = 20_261
const RUNS = 150
/** Number of values of `fate`, which decides whether a message and its answer are delivered, delayed, duplicated or lost. */
const FATE_COUNT = 64

const limitsArbitrary: fc.Arbitrary<Limits> = fc.record({
  slots: fc.integer({ min: 1, max: 5 }),
  entriesPerRegion: fc.integer({ min: 1, max: 4 }),
  maxConcurrency: fc.option(fc.integer({ min: 1, max: 8 }), { nil: undefined })
})

enum EventKind { Settle, Advance, ReadList, ReadAll, Exchange, ExchangeAll, Start, Borrow, Return, DeliverDelayed, ApplyNewest, Publish, ToggleListed, Restart }
const WEIGHTS: ReadonlyArray<readonly [EventKind, number]> = [
  [EventKind.Settle, 8], [EventKind.Advance, 14], [EventKind.ReadList, 8], [EventKind.ReadAll, 6], [EventKind.Exchange, 10], [EventKind.ExchangeAll, 4], [EventKind.Start, 30], [EventKind.Borrow, 12],
  [EventKind.Return, 4], [EventKind.DeliverDelayed, 6], [EventKind.ApplyNewest, 8], [EventKind.Publish, 2], [EventKind.ToggleListed, 3], [EventKind.Restart, 1]
]
const eventArbitrary = fc.record({
  kind: fc.oneof(...WEIGHTS.map(([kind, weight]) => ({ arbitrary: fc.constant(kind), weight }))),
  one: fc.integer({ min: 0, max: NODE_IDS.length - 1 }),
  other: fc.integer({ min: 1, max: NODE_IDS.length - 1 }),
  fate: fc.integer({ min: 0, max: FATE_COUNT - 1 }),
  spanMs: fc.integer({ min: 1, max: MAX_REQUEST_MS }),
  limits: limitsArbitrary
})
type SimulationEvent = typeof eventArbitrary extends fc.Arbitrary<infer T> ? T : never

function exchangeAll (simulation: LimitSimulation): void {
  for (const from of simulation.nodes) {
    for (const to of simulation.nodes) {
      if (from !== to) simulation.exchange(from, to, 0)
    }
  }
}

/** Lets all nodes read the list, apply the newest configuration and exchange messages with each other. */
function settle (simulation: LimitSimulation): void {
  for (const node of simulation.nodes) {
    simulation.readList(node, 0)
    simulation.applyNewest(node)
  }
  for (let round = 0; round < 3; round++) exchangeAll(simulation)
}

const HANDLERS: Readonly<Record<EventKind, (simulation: LimitSimulation, event: SimulationEvent) => void>> = {
  [EventKind.Settle]: settle,
  [EventKind.Advance]: (simulation, { spanMs }) => simulation.runFor(Math.ceil(spanMs / 2)),
  [EventKind.ReadList]: (simulation, { one, spanMs }) => simulation.readList(simulation.nodes[one]!, spanMs),
  [EventKind.ReadAll]: (simulation, { fate }) => simulation.nodes.forEach((node) => simulation.readList(node, fate)),
  [EventKind.Exchange]: (simulation, event) => simulation.exchange(simulation.nodes[event.one]!, getOtherNode(simulation, event), event.fate),
  [EventKind.ExchangeAll]: exchangeAll,
  [EventKind.Start]: (simulation, { one, spanMs }) => simulation.startRequest(simulation.nodes[one]!, spanMs),
  [EventKind.Borrow]: (simulation, event) => simulation.borrow(simulation.nodes[event.one]!, getOtherNode(simulation, event), event.spanMs + MAX_REQUEST_MS, event.fate),
  [EventKind.Return]: (simulation, { one, fate }) => simulation.returnLoan(simulation.nodes[one]!, fate),
  [EventKind.DeliverDelayed]: (simulation, { fate }) => simulation.deliverDelayed(fate % 2 === 0),
  [EventKind.ApplyNewest]: (simulation, { one }) => simulation.applyNewest(simulation.nodes[one]!),
  [EventKind.Publish]: (simulation, { limits }) => simulation.publish(limits),
  [EventKind.ToggleListed]: (simulation, { one }) => simulation.updateListed(NODE_IDS[one]!),
  [EventKind.Restart]: (simulation, { one }) => simulation.stopAndStart(simulation.nodes[one]!)
}

function getOtherNode (simulation: LimitSimulation, { one, other }: SimulationEvent): LimitSimulation['nodes'][number] {
  return simulation.nodes[(one + other) % NODE_IDS.length]!
}

describe('limits among entry VMs', () => {
  /*
   * Guards against overloaded workers, which callers see as slow or rejected
   * requests. It happens if a node uses a share before the previous owner has
   * stopped using it: when a partitioned VM that is still sending is removed from
   * the list, another VM joins, the answer to a loan request is lost, or operators
   * lower the number of slots.
   */
  it('never exceed the limit of a worker or a place when messages are lost, delayed or duplicated', () => {
    const totals = { started: 0, startedOnLoan: 0, settledAnew: 0, full: 0 }
    const events = fc.array(eventArbitrary, { minLength: 150, maxLength: 400 })
    fc.assert(fc.property(limitsArbitrary, events, (limits, list) => {
      const simulation = new LimitSimulation(limits, ['n1', 'n2', 'n3'])
      settle(simulation)
      for (const event of list) {
        HANDLERS[event.kind](simulation, event)
        assert.equal(simulation.findExcess(), undefined)
      }
      for (const name of Object.keys(totals) as Array<keyof typeof totals>) totals[name] += simulation.counts[name]
    }), { seed: SEED, numRuns: RUNS })
    // The property is only meaningful if enough requests ran.
    assert.ok(totals.started > RUNS * 5, `${totals.started} requests`)
    assert.ok(totals.startedOnLoan > RUNS / 2, `${totals.startedOnLoan} on loans`)
    assert.ok(totals.settledAnew > RUNS * 10, `${totals.settledAnew} divisions settled`)
    assert.ok(totals.full > RUNS * 10, `a worker full at ${totals.full} events`)
  })

  /*
   * Guards against slots that stay unused after a VM was replaced. Once its grace
   * period has passed, the other nodes must have all of its share.
   */
  it('pass a removed VM\'s share to the others only after the grace period', () => {
    const simulation = new LimitSimulation({ slots: 4, entriesPerRegion: 4, maxConcurrency: undefined }, ['n1', 'n2'])
    settle(simulation)
    const countAll = (): number => simulation.slotKeys.reduce((sum, key) => sum + simulation.nodes[0]!.ledger.countFree(key, 0), 0)
    assert.equal(countAll(), 4)
    simulation.setListed(['n1'])
    settle(simulation)
    assert.equal(countAll(), 4)
    simulation.runFor(600)
    settle(simulation)
    assert.equal(countAll(), 4)
    simulation.runFor(200)
    settle(simulation)
    assert.equal(countAll(), 8)
  })

  /*
   * Guards against overloaded workers after a VM was removed from the list or can
   * no longer read it. It must stop using its share before the grace period ends at
   * the other nodes, whether it learns of its removal or not.
   */
  it('drop to zero on a VM that sees its own removal, and on one that can no longer read the list', () => {
    const simulation = new LimitSimulation({ slots: 4, entriesPerRegion: 4, maxConcurrency: undefined }, ['n1', 'n2', 'n3'])
    settle(simulation)
    const [unlisted, cutOff] = simulation.nodes as [LimitSimulation['nodes'][number], LimitSimulation['nodes'][number]]
    const countAll = (node: LimitSimulation['nodes'][number]): number => simulation.slotKeys.reduce((sum, key) => sum + node.ledger.countFree(key, 0), 0)
    assert.ok(countAll(unlisted) > 0 && countAll(cutOff) > 0)
    simulation.setListed(['n2', 'n3'])
    simulation.readList(unlisted, 0)
    assert.equal(countAll(unlisted), 0)
    simulation.runFor(400)
    assert.equal(countAll(cutOff), 0)
  })
})
