import assert from 'node:assert/strict'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import { type ExchangeRow, ExchangeTopic } from '../../../../src/common/entry/exchange/exchangeRow.js'
import type { Usage } from '../../../../src/common/entry/admission/serviceUsage.js'
import { MAX_CONTENT_BYTES } from '../../../../src/common/entry/exchange/contentSize.js'
import { decodeUsage, encodeUsage, mergeUsageRows, USAGE_AGGREGATION, USAGE_VALIDITY_MS } from '../../../../src/common/entry/admission/usageContent.js'

const SEED = 20261204

function createUsage (services: number, accounts: number, nameLength = 8): Usage {
  const counts = new Map(Array.from({ length: accounts }, (_, index) => [`${index}`.padEnd(nameLength, 'ä'), 10 * accounts - index] as const))
  return new Map(Array.from({ length: services }, (_, index) => [`service-${index}`, new Map([[1, { asked: Math.min(500_000, 10 * accounts * accounts), owed: 9, served: 8, accounts: counts }]])]))
}

function createRow (topic: ExchangeTopic, key: string, usage: Usage, at = 0): ExchangeRow {
  return { topic, key, content: encodeUsage(usage)!, at }
}

describe('the rows of usage', () => {
  it('have a bounded size whatever the number of accounts and services', () => {
    for (const [services, accounts, nameLength] of [[1, 10_000, 8], [40, 1_000, 8], [3, 50, 190], [200, 1, 8]] as const) {
      const content = encodeUsage(createUsage(services, accounts, nameLength))
      assert.ok(Buffer.byteLength(JSON.stringify(content)) <= MAX_CONTENT_BYTES)
      assert.ok(decodeUsage(content).size > 0)
    }
    assert.equal(encodeUsage(new Map()), undefined)
  })

  // Guards against a process that is busy for hundreds of milliseconds to leave out one part after the other.
  it('are built with little work, however many services and accounts there are', () => {
    let reads = 0
    class CountingMap extends Map<string, number> {
      override [Symbol.iterator] (): ReturnType<Map<string, number>['entries']> {
        reads++
        return super[Symbol.iterator]()
      }
    }
    const services = 100
    const usage = new Map(Array.from({ length: services }, (_, index) => {
      const accounts = new CountingMap(Array.from({ length: 64 }, (_, account) => [`account-${account}`, account + 1]))
      return [`service-${index}`, new Map([[1, { asked: 4_000 - index, owed: 100, served: 90, accounts }]])]
    }))
    const content = encodeUsage(usage)
    assert.ok(Buffer.byteLength(JSON.stringify(content)) <= MAX_CONTENT_BYTES)
    assert.ok(reads <= services, `the accounts of a service were read ${reads} times`)
    assert.ok(decodeUsage(content).has('service-0') && decodeUsage(content).size > 20)
  })

  it('say the same after decoding', () => {
    const usage = createUsage(2, 5)
    assert.deepEqual(decodeUsage(encodeUsage(usage)), usage)
  })

  it('are decoded whatever they contain, within bounds', () => {
    // Guards against rows of other builds and damaged rows.
    const part = fc.tuple(fc.oneof(fc.string(), fc.jsonValue()), fc.jsonValue(), fc.double(), fc.double(), fc.double(), fc.oneof(fc.jsonValue(), fc.array(fc.tuple(fc.string(), fc.double()))))
    fc.assert(fc.property(fc.oneof(fc.jsonValue(), fc.array(fc.oneof(part, fc.jsonValue()))), (content) => {
      for (const byPriority of decodeUsage(content).values()) {
        for (const { asked, owed, served, accounts } of byPriority.values()) {
          assert.ok(asked >= 0 && owed <= asked && served >= 0 && served <= owed)
          for (const count of accounts.values()) assert.ok(count >= 0 && count <= asked)
        }
      }
    }), { seed: SEED, numRuns: 500 })
  })

  it('of a failure domain add up those of its VMs that are recent', () => {
    const usage = createUsage(1, 4)
    const rows = [createRow(ExchangeTopic.VmUsage, 'vm-1', usage), createRow(ExchangeTopic.VmUsage, 'vm-2', usage), createRow(ExchangeTopic.VmUsage, 'vm-3', usage, -USAGE_VALIDITY_MS - 1)]
    const sum = decodeUsage(USAGE_AGGREGATION.compute(rows, 0))
    assert.equal(sum.get('service-0')!.get(1)!.asked, 2 * usage.get('service-0')!.get(1)!.asked)
    assert.equal(mergeUsageRows(rows.slice(2), 0).size, 0)
    assert.equal(USAGE_AGGREGATION.compute([], 0), undefined)
  })
})
