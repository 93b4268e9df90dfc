import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { ExchangeTopic } from '@umberspar/steering/common/entry/exchange/exchangeRow'
import { RouteKind } from '@umberspar/steering/common/entry/steeringDocument'
import { ServiceTimeEstimate } from '@umberspar/steering/common/entry/workers/serviceTimeEstimate'
import { MAX_SHIFT, REGIONS, SERVICE, SimulatedFleet, type SimulatedVm } from './simulatedFleet.js'

const EVEN = { 'a-1': 60, 'b-1': 60, 'c-1': 60 }
const UNEVEN = { 'a-1': 90, 'b-1': 30, 'c-1': 60 }
const ROUTE = { name: 'desk', host: 'desk.test', prefix: '/', kind: RouteKind.Idempotent, parts: [{ service: SERVICE, weight: 1 }], timeoutMs: 1_000, goalMs: 200, attempts: 2, priority: 0, isSticky: true, homeRegions: [], isOpen: true }

/** @returns the part of 400 objects whose first worker is in each region */
function readDivision ({ view }: SimulatedVm, now: number): Map<string, number> {
  const serviceTimes = new ServiceTimeEstimate(ROUTE)
  const division = new Map([...REGIONS.values()].map((region) => [region, 0]))
  for (let index = 0; index < 400; index++) {
    const [first] = view.getPool(SERVICE).listCandidates({ homeRegions: [], key: `object-${index}`, triedWorkers: new Set() }, serviceTimes, view.evacuatedDomains, now)
    const region = REGIONS.get(first!.tracker.registration.domain)!
    division.set(region, division.get(region)! + 1 / 400)
  }
  return division
}

function readDemand ({ view }: SimulatedVm, region: string): number | undefined {
  return view.getPool(SERVICE).placement?.state?.perSecondByRegion?.get(region)
}

describe('the demand that entry VMs tell each other', () => {
  let fleet: SimulatedFleet

  beforeEach(() => { fleet = new SimulatedFleet() })
  afterEach(() => { fleet.close() })

  it('moves requests of a busy region to one with room, alike at all VMs of the region', async () => {
    const [vm, other] = fleet.vms
    const before = readDivision(vm!, fleet.clock.now())
    fleet.run(60, UNEVEN)
    const after = readDivision(vm!, fleet.clock.now())
    assert.ok(after.get('b')! > before.get('b')! + 0.05, `${after.get('b')} instead of ${before.get('b')}`)
    assert.deepEqual(readDivision(other!, fleet.clock.now()), after)
    const line = fleet.logLines.find(({ step }) => step === 'move-placement')!
    assert.equal(line['service'], SERVICE)
    assert.match(String(line['demand']), /^a=\d+(\.\d+)? b=\d+(\.\d+)? c=\d+(\.\d+)?$/)
    assert.equal(line['usableSlots'], 'a=52 b=52 c=8')
    const text = await fleet.metrics.read({ readGauges: () => ({}), readRetryBudgets: () => [] })
    assert.match(text, /umberspar_region_demand_per_second\{service="desk",region="a"\} \d/)
    assert.match(text, /umberspar_region_usable_slots\{service="desk",region="c"\} 8/)
    assert.match(text, /umberspar_placement_steps_total\{service="desk"\} [1-9]/)
    assert.match(text, /umberspar_objects_moved_total\{service="desk"\} \d/)
  })

  it('is kept while a VM restarts', () => {
    // Guards against neighbours that believe that the demand at a restarted VM vanished.
    fleet.run(30, EVEN)
    const [observer, restarted] = [fleet.vms.at(-1)!, fleet.vms[0]!]
    const before = readDemand(observer, 'a')!
    fleet.resetVm(restarted)
    fleet.run(30, EVEN, () => {
      const demand = readDemand(observer, 'a')!
      assert.ok(Math.abs(demand / before - 1) <= 0.1, `${demand} instead of ${before}`)
    })
  })

  it('is the last known for a bounded time where rows are cut one way, and moves no more than permitted', () => {
    fleet.run(60, UNEVEN)
    const listener = fleet.vms.find(({ domain }) => domain === 'b-1')!
    const before = readDemand(listener, 'a')!
    fleet.canHear = (listenerDomain, subject) => listenerDomain !== 'b-1' || subject === 'b-1'
    fleet.run(10, UNEVEN)
    assert.equal(readDemand(listener, 'a'), before)
    const { placement } = listener.view.getPool(SERVICE)
    fleet.run(80, UNEVEN, () => { assert.ok((placement!.state?.step?.movedRatio ?? 0) <= MAX_SHIFT / 2) })
    assert.equal(readDemand(listener, 'a'), undefined)
    assert.equal(placement!.demand, undefined, 'equal again')
    assert.ok(fleet.vms[0]!.view.getPool(SERVICE).placement!.demand !== undefined, 'the other regions still hear it')
  })

  it('counts VMs that tell none as the mean of their domain, and is unknown if most tell none', () => {
    // Guards against VMs of builds without the exchange making their domain look idle.
    for (const [index, vm] of fleet.vms.entries()) vm.tellsDemand = index % 3 !== 2
    fleet.run(40, EVEN)
    const demands = ['a', 'b', 'c'].map((region) => readDemand(fleet.vms[0]!, region)!)
    for (const demand of demands) assert.ok(Math.abs(demand - 60) <= 6, `${demand} instead of 60`)
    for (const [index, vm] of fleet.vms.entries()) vm.tellsDemand = index % 3 === 0
    fleet.run(40, UNEVEN)
    assert.equal(readDemand(fleet.vms[0]!, 'a'), undefined)
    fleet.run(60, UNEVEN)
    assert.equal(fleet.vms[0]!.view.getPool(SERVICE).placement!.demand, undefined)
  })

  it('is told no more after the VM has stopped', () => {
    fleet.run(20, EVEN)
    const { reporter, exchange } = fleet.vms[0]!
    reporter.close()
    const readToldAt = (): number => exchange.listRows(ExchangeTopic.VmDemand).find(({ key }) => key === fleet.vms[0]!.name)!.at
    const toldAt = readToldAt()
    fleet.run(5, EVEN)
    assert.equal(readToldAt(), toldAt)
  })
})

describe('a deployment without the setting for placement by demand', () => {
  it('divides requests as before, whatever the demand', () => {
    const fleet = new SimulatedFleet({})
    const before = readDivision(fleet.vms[0]!, fleet.clock.now())
    fleet.run(60, UNEVEN)
    assert.equal(fleet.vms[0]!.view.getPool(SERVICE).placement, undefined)
    assert.deepEqual(readDivision(fleet.vms[0]!, fleet.clock.now()), before)
    assert.ok(fleet.logLines.every(({ step }) => step !== 'move-placement'))
    fleet.close()
  })
})
