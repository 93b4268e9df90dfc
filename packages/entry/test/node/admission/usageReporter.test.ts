import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { SeededRandom } from '@umberspar/base/common/random'
import { FleetUsage } from '@umberspar/steering/common/entry/admission/fleetUsage'
import { ServiceGates } from '@umberspar/steering/common/entry/admission/serviceGates'
import { decodeUsage } from '@umberspar/steering/common/entry/admission/usageContent'
import { MAX_CONTENT_BYTES } from '@umberspar/steering/common/entry/exchange/contentSize'
import { type DomainAggregation, type ExchangeRow, ExchangeTopic } from '@umberspar/steering/common/entry/exchange/exchangeRow'
import type { SteeringDocument } from '@umberspar/steering/common/entry/steeringDocument'
import { UsageReporter } from '../../../src/node/admission/usageReporter.js'

describe('the usage that a VM publishes', () => {
  it('is one bounded row a second while there are requests', () => {
    const clock = new ManualClock(0)
    const rows: ExchangeRow[] = []
    const aggregations: DomainAggregation[] = []
    const exchange = { publish: (row: ExchangeRow) => { rows.push(row) }, addAggregation: (aggregation: DomainAggregation) => { aggregations.push(aggregation) } }
    const gates = new ServiceGates(new FleetUsage(undefined, 'north-1'), new SeededRandom(1))
    let document = { routes: [{ priority: 1 }, { priority: 1 }], accounts: [] } as unknown as SteeringDocument
    const reporter = new UsageReporter({ clock, exchange, gates, node: 'vm-1', view: { get document () { return document } } })
    reporter.start()
    clock.stepBy(2_000)
    assert.equal(rows.length, 0)
    for (let index = 0; index < 5_000; index++) gates.get('desk').decide({ priority: 1, account: `account-${index}`, hasReturned: false }, { saturation: 0, onTimeProbability: 1 }, clock.now())
    clock.stepBy(3_000)
    assert.equal(rows.length, 3)
    for (const { topic, key, content } of rows) {
      assert.deepEqual([topic, key], [ExchangeTopic.VmUsage, 'vm-1'])
      assert.ok(Buffer.byteLength(JSON.stringify(content)) <= MAX_CONTENT_BYTES)
      assert.ok(decodeUsage(content).has('desk'))
    }
    assert.deepEqual(aggregations.map(({ from, to }) => [from, to]), [[ExchangeTopic.VmUsage, ExchangeTopic.DomainUsage]])
    gates.get('desk').decide({ priority: 1, account: undefined, hasReturned: false }, { saturation: 0, onTimeProbability: 1 }, clock.now())
    document = { routes: [{ priority: 1 }, { priority: 1 }] } as unknown as SteeringDocument
    clock.stepBy(1_000)
    assert.equal(rows.length, 3, 'nothing is told where all requests have one rank')
    document = { routes: [{ priority: 1 }, { priority: 2 }] } as unknown as SteeringDocument
    clock.stepBy(1_000)
    assert.equal(rows.length, 4)
    reporter.close()
    clock.stepBy(3_000)
    assert.equal(rows.length, 4)
  })
})
