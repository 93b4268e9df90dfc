/** Tests when a place counts as failed. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import type { WorkerReport } from '@umberspar/steering/common/ports/peers'
import { PlaceObserver } from '../../../src/node/plan/placeObserver.js'

const ADDRESS = '10.0.0.1:80'
const CONFIGURATION = {
  services: { s: { places: { d: { workers: { w: { address: ADDRESS, slots: 1 } } } } } }
} as unknown as SteeringConfiguration

function buildReport (measuredAt: number, isHealthy: boolean): WorkerReport {
  return { workerId: ADDRESS, utilization: 0, inFlight: 0, measuredAt, isDraining: false, isHealthy, isStarting: false, isProbed: true, hasLoad: false }
}

function hasFailed (observer: PlaceObserver, now: number): boolean | undefined {
  return observer.listPlaces(CONFIGURATION, now)[0]?.isFailed
}

describe('PlaceObserver', () => {
  it('does not count a place as failed after one lost probe', () => {
    // On a busy machine one probe is lost and the answer to the next is late. If the
    // place counted as failed in between, the entry VM would send its callers to
    // another place, and the next drain would take two seconds longer because the
    // traffic first returns in capped steps.
    const observer = new PlaceObserver()
    observer.observe([buildReport(1000, false)])
    assert.equal(hasFailed(observer, 2900), false)
    observer.observe([buildReport(2000, true)])
    assert.equal(hasFailed(observer, 2900), false)
    observer.observe([buildReport(3000, false)])
    observer.observe([buildReport(4000, false)])
    assert.equal(hasFailed(observer, 4400), false)
    assert.equal(hasFailed(observer, 4500), true)
  })
})
