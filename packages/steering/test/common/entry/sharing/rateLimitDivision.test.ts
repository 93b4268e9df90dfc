import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { FleetFault, type FleetPlan, LimitKind, type PlannedFault, SimulatedFleet } from './simulatedFleet.js'

const SEED = 64
const ANNOUNCED_AT_MS = 24_000
const FAULTS_FROM_MS = 28_000
const FAULTS_UNTIL_MS = 52_000
const DURATION_MS = 70_000
const DELAYS_MS = [0, 300, 1_200]
/** By then VMs have learned of the limit, and which keys the worker keeps. */
const SETTLED_AT_MS = 50_000
const QUIET_DURATION_MS = 100_000
const MAX_SPAN_MS = 14_000

const COLD = { kind: LimitKind.Cold, perSecond: 7 }

const fault = fc.record({
  fault: fc.constantFrom(...Object.values(FleetFault)),
  atMs: fc.integer({ min: FAULTS_FROM_MS, max: FAULTS_UNTIL_MS }),
  spanMs: fc.integer({ min: 500, max: MAX_SPAN_MS }),
  target: fc.nat(30)
})
const plan = fc.record({
  domains: fc.constantFrom(2, 4, 6),
  vms: fc.integer({ min: 2, max: 20 }),
  perSecond: fc.constantFrom(0.2, 2.7, 10),
  delaysMs: fc.constant(DELAYS_MS),
  faults: fc.array(fault, { minLength: 1, maxLength: 12 }),
  durationMs: fc.constant(DURATION_MS)
})

const longPlan = fc.record({
  domains: fc.constant(2),
  vms: fc.integer({ min: 2, max: 8 }),
  perSecond: fc.constant(10),
  delaysMs: fc.constant(DELAYS_MS),
  faults: fc.array(fc.record({
    fault: fc.constantFrom(FleetFault.StoreSilent, FleetFault.CutOff, FleetFault.Down, FleetFault.Added, FleetFault.StoreDown),
    atMs: fc.integer({ min: FAULTS_FROM_MS, max: 120_000 }),
    spanMs: fc.integer({ min: 20_000, max: 100_000 }),
    target: fc.nat(30)
  }), { minLength: 2, maxLength: 8 }),
  durationMs: fc.constant(260_000)
})

function runFleet (fleetPlan: FleetPlan): SimulatedFleet {
  const fleet = new SimulatedFleet(fleetPlan)
  fleet.run(ANNOUNCED_AT_MS)
  return fleet
}

function assertWithinLimit (fleet: SimulatedFleet): void {
  assert.ok(fleet.busiest <= fleet.allowed, `${fleet.busiest} requests in a window, allowed ${fleet.allowed}`)
}

/** @returns the same fault at half of the VMs, again and again */
function buildHalfFaults (kind: FleetFault, spanMs: number, vms: number): PlannedFault[] {
  return [FAULTS_FROM_MS, FAULTS_FROM_MS + 11_000].flatMap((atMs, round) => Array.from({ length: vms / 2 }, (_, index) => ({ fault: kind, atMs, spanMs, target: (index * 5 + round) % vms })))
}

function buildPlan (faults: readonly PlannedFault[], vms = 8): FleetPlan {
  return { domains: 4, vms, perSecond: 10, delaysMs: DELAYS_MS, faults, durationMs: DURATION_MS }
}

describe('the rate limit of a worker, divided among entry VMs', () => {
  // Guards against VMs whose registrations have expired, which others no longer count and callers still reach.
  it('holds while the store is silent for half of the VMs', () => {
    assertWithinLimit(runFleet(buildPlan(buildHalfFaults(FleetFault.StoreSilent, 8_000, 8))))
    assertWithinLimit(runFleet(buildPlan(buildHalfFaults(FleetFault.StoreSilent, 8_000, 24), 24)))
  })

  // Guards against processes that know neither the limit nor what their predecessors sent.
  it('holds while VMs are killed and start again', () => {
    const faults = Array.from({ length: 24 }, (_, index) => ({ fault: FleetFault.Down, atMs: FAULTS_FROM_MS + 1_000 * index, spanMs: 700, target: index }))
    assertWithinLimit(runFleet(buildPlan(faults)))
    assertWithinLimit(runFleet(buildPlan([0, 1, 2, 3, 4, 5, 6, 7].map((target) => ({ fault: FleetFault.Down, atMs: FAULTS_FROM_MS, spanMs: 1_000, target })))))
  })

  // Guards against a division that follows the list of workers while requests by the one before still count.
  it('holds while the registrations of all other workers are missing', () => {
    assertWithinLimit(runFleet(buildPlan([{ fault: FleetFault.WorkersAway, atMs: FAULTS_FROM_MS, spanMs: 6_000, target: 0 }])))
  })

  // Guards against limits that are kept by leaving most of them unused.
  it('leaves the worker at least nine tenths of it, and about as much as it names, while nothing changes', () => {
    for (const [domains, vms] of [[2, 2], [4, 8], [6, 12], [6, 48]] as const) {
      const fleet = new SimulatedFleet({ ...buildPlan([], vms), domains, durationMs: QUIET_DURATION_MS }, true)
      fleet.run(ANNOUNCED_AT_MS)
      const named = 10 * (QUIET_DURATION_MS - SETTLED_AT_MS) / 1_000
      const arrived = fleet.countArrivals(SETTLED_AT_MS)
      assert.ok(arrived >= 0.9 * named && arrived <= 1.2 * named, `${arrived} requests, ${named} named, ${vms} VMs in ${domains} domains`)
    }
  })

  it('holds for any interleaving of faults', () => {
    fc.assert(fc.property(plan, (fleetPlan) => { assertWithinLimit(runFleet(fleetPlan)) }), { seed: SEED, numRuns: 15 })
  })

  // Guards against VMs that are taken off the members, or come back, while they spend their parts.
  it('holds while VMs lose the store or all others for minutes', () => {
    fc.assert(fc.property(longPlan, (fleetPlan) => { assertWithinLimit(runFleet(fleetPlan)) }), { seed: SEED, numRuns: 6 })
  })
})

describe('the limit of a cold worker, divided among entry VMs', () => {
  // Guards against VMs whose registrations have expired, which others no longer count and callers still reach.
  it('holds while the store is silent for half of the VMs', () => {
    assertWithinLimit(runFleet({ ...buildPlan(buildHalfFaults(FleetFault.StoreSilent, 8_000, 24), 24), ...COLD }))
  })

  it('holds for any interleaving of faults', () => {
    fc.assert(fc.property(plan, (fleetPlan) => { assertWithinLimit(runFleet({ ...fleetPlan, ...COLD })) }), { seed: SEED, numRuns: 10 })
  })

  it('leaves the worker requests while nothing changes', () => {
    for (const vms of [2, 12, 80]) {
      const fleet = runFleet({ ...buildPlan([], vms), ...COLD })
      assert.ok(fleet.countArrivals(SETTLED_AT_MS) >= COLD.perSecond * (DURATION_MS - SETTLED_AT_MS) / 1_000, `${fleet.countArrivals(SETTLED_AT_MS)} requests`)
    }
  })
})
