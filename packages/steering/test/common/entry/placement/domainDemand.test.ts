import assert from 'node:assert/strict'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import { type ExchangeContent, type ExchangeRow, ExchangeTopic } from '../../../../src/common/entry/exchange/exchangeRow.js'
import { DemandMeter } from '../../../../src/common/entry/placement/demandMeter.js'
import { type DomainMember, domainDemandAggregation, estimateRegionDemand, parseDomainDemand } from '../../../../src/common/entry/placement/domainDemand.js'

const SEED = 20261204
const REGIONS = new Map([['a-1', 'a'], ['a-2', 'a'], ['b-1', 'b'], ['b-2', 'b']])

function createRow (topic: ExchangeTopic, key: string, content: ExchangeContent, at = 0): ExchangeRow {
  return { topic, key, content, at }
}

/** @returns four VMs in each failure domain */
function listMembers (): DomainMember[] {
  return [...REGIONS.keys()].flatMap((domain) => Array.from({ length: 4 }, () => ({ domain })))
}

function estimate (rows: readonly ExchangeRow[], now = 0): Map<string, number> | undefined {
  return estimateRegionDemand('desk', parseDomainDemand(rows, now), listMembers(), REGIONS)
}

function createDomainRow (domain: string, vms: number, perSecond: number, at = 0): ExchangeRow {
  return createRow(ExchangeTopic.DomainDemand, domain, { vms, rates: { desk: perSecond } }, at)
}

describe('the demand of failure domains', () => {
  it('is the sum of its VMs, with the last known rates of those that are silent for a bounded time', () => {
    // Guards against a restarted VM letting its neighbours believe that demand vanished.
    const rows = [createRow(ExchangeTopic.VmDemand, 'vm-1', { desk: 3, files: 1 }, 20_000), createRow(ExchangeTopic.VmDemand, 'vm-2', { desk: 5 }, 9_000)]
    assert.deepEqual(domainDemandAggregation.compute(rows, 20_000), { vms: 2, rates: { desk: 8, files: 1 } })
    assert.deepEqual(domainDemandAggregation.compute(rows, 30_000), { vms: 1, rates: { desk: 3, files: 1 } })
    assert.equal(domainDemandAggregation.compute(rows, 60_000), undefined)
  })

  // Guards against a domain whose rates, of many services with long numbers, fit into no datagram and are never told.
  it('is told in a bounded length, the services with the most requests first', () => {
    const rows = Array.from({ length: 20 }, (_, vm) => createRow(ExchangeTopic.VmDemand, `vm-${vm}`, Object.fromEntries(Array.from({ length: 12 }, (_, index) => [`service-${vm}-${index}`, 0.1 * (vm + index) + 1 / 3]))))
    const content = domainDemandAggregation.compute(rows, 0)!
    assert.ok(JSON.stringify(content).length <= 1_000, `${JSON.stringify(content).length}`)
    const { rates } = parseDomainDemand([createRow(ExchangeTopic.DomainDemand, 'a-1', content)], 0).get('a-1')!
    assert.ok(rates['service-19-11']! > 3.3 && Object.values(rates).every((perSecond) => perSecond > 1))
  })

  it('is a number for services whose names objects have as properties', () => {
    for (const service of ['constructor', 'toString', '__proto__']) {
      const demand = parseDomainDemand([...REGIONS.keys()].map((domain) => createDomainRow(domain, 4, 40)), 0)
      assert.equal(estimateRegionDemand(service, demand, listMembers(), REGIONS), undefined, service)
      const rows = [1, 2].map((vm) => createRow(ExchangeTopic.VmDemand, `vm-${vm}`, Object.fromEntries([[service, 2]])))
      assert.deepEqual(domainDemandAggregation.compute(rows, 0), { vms: 2, rates: Object.fromEntries([[service, 4]]) }, service)
    }
  })

  it('counts VMs that tell none as the mean of those of their domain that do', () => {
    // Guards against VMs of builds without the exchange making their domain look idle.
    const rows = [createDomainRow('a-1', 2, 20), createDomainRow('a-2', 4, 40), createDomainRow('b-1', 4, 40), createDomainRow('b-2', 1, 10)]
    assert.deepEqual(estimate(rows), new Map([['a', 80], ['b', 80]]))
  })

  it('of a domain without rows is that of its region, or else of all', () => {
    assert.deepEqual(estimate([createDomainRow('a-1', 4, 80), createDomainRow('b-1', 4, 40), createDomainRow('b-2', 4, 40)]), new Map([['a', 160], ['b', 80]]))
    assert.deepEqual(estimate([createDomainRow('a-1', 4, 80), createDomainRow('a-2', 4, 40)]), new Map([['a', 120], ['b', 120]]))
  })

  it('is unknown without rows of half of the VMs, and when rows are too old', () => {
    assert.equal(estimate([]), undefined)
    assert.equal(estimate([createDomainRow('a-1', 4, 80)]), undefined)
    const rows = [...REGIONS.keys()].map((domain) => createDomainRow(domain, 4, 40))
    assert.deepEqual(estimate(rows, 10_000), new Map([['a', 80], ['b', 80]]))
    assert.equal(estimate(rows, 40_000), undefined)
  })

  it('is finite and at least 0, whatever rows arrive', () => {
    const value = fc.oneof(fc.double(), fc.string(), fc.integer(), fc.constantFrom(-1, 1e9, NaN, Infinity))
    const content = fc.oneof(value, fc.array(value), fc.record({ vms: value, rates: fc.oneof(value, fc.record({ desk: value })) })) as fc.Arbitrary<ExchangeContent>
    fc.assert(fc.property(fc.array(fc.tuple(fc.constantFrom(...REGIONS.keys(), 'elsewhere', '__proto__'), content)), (entries) => {
      const demand = estimate(entries.map(([key, inner]) => createRow(ExchangeTopic.DomainDemand, key, inner)))
      for (const perSecond of demand?.values() ?? []) assert.ok(perSecond >= 0 && Number.isFinite(perSecond))
      domainDemandAggregation.compute(entries.map(([key, inner]) => createRow(ExchangeTopic.VmDemand, key, inner)), 0)
    }), { seed: SEED, numRuns: 500 })
  })
})

describe('the demand meter', () => {
  it('measures the requests per second of each service', () => {
    const meter = new DemandMeter(0)
    for (let now = 0; now < 30_000; now += 50) {
      meter.record('desk', now)
      if (now % 200 === 0) meter.record('files', now)
    }
    const { desk, files } = meter.read(30_000)!
    assert.ok(Math.abs(desk! - 20) < 1 && Math.abs(files! - 5) < 0.5, `${desk} and ${files}`)
  })

  it('tells nothing in its first seconds', () => {
    // Guards against a VM that has just started telling rates that are too low.
    const meter = new DemandMeter(10_000)
    meter.record('desk', 10_500)
    assert.equal(meter.read(12_000), undefined)
  })

  it('keeps its row and its state small, with the services that get the most requests', () => {
    const meter = new DemandMeter(0)
    for (let index = 0; index < 500; index++) {
      meter.record(`service-${index}-${'x'.repeat(50)}`, index * 20)
      meter.record('busiest', index * 20)
    }
    const rates = meter.read(10_000)!
    assert.ok(JSON.stringify(rates).length <= 500)
    assert.ok(rates['busiest']! > 40)
  })
})
