/** Every fault of a configuration is named by its path and by what was expected. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import jsonMergePatch from 'json-merge-patch'
import { validateConfiguration } from '../../../src/common/configuration/validateConfiguration.js'
import { buildSampleInput } from '../sampleConfiguration.js'

interface FaultCase {
  readonly name: string
  /** A merge patch that plants the fault. */
  readonly patch: unknown
  readonly path: string
  readonly expected: RegExp
}

const ESCORT_PLACES = 'services.escort-svc.places'

const CASES: readonly FaultCase[] = [
  { name: 'missing field', patch: { shiftCaps: { planned: null } }, path: 'shiftCaps.planned', expected: /number/ },
  { name: 'cap of zero', patch: { shiftCaps: { planned: 0 } }, path: 'shiftCaps.planned', expected: /fraction above 0/ },
  { name: 'number too small', patch: { entriesPerRegion: 0 }, path: 'entriesPerRegion', expected: /at least 1/ },
  { name: 'number too great', patch: { entriesPerRegion: 65 }, path: 'entriesPerRegion', expected: /at most 64/ },
  { name: 'wrong choice', patch: { services: { 'escort-svc': { routes: [{ prefix: '/', repeat: 'often' }] } } }, path: 'services.escort-svc.routes.0.repeat', expected: /one of "by-method", "idempotent"/ },
  { name: 'malformed name', patch: { services: { Escort: { places: {} } } }, path: 'services.Escort', expected: /lower-case/ },
  { name: 'unknown field', patch: { shiftCaps: { plannned: 0.1 } }, path: 'shiftCaps.plannned', expected: /no field/ },
  { name: 'unknown field at the top', patch: { shift: 1 }, path: 'shift', expected: /no field/ },
  { name: 'malformed address', patch: { services: { 'escort-svc': { places: { 'klang-a': { workers: { w1: { address: 'localhost:80' } } } } } } }, path: `${ESCORT_PLACES}.klang-a.workers.w1.address`, expected: /IP number and port/ },
  { name: 'address beyond 255', patch: { services: { 'escort-svc': { places: { 'klang-a': { workers: { w1: { address: '10.0.0.256:80' } } } } } } }, path: `${ESCORT_PLACES}.klang-a.workers.w1.address`, expected: /IP number/ },
  { name: 'address used twice', patch: { services: { 'escort-svc': { places: { 'klang-a': { workers: { w2: { address: '10.9.0.1:8080' } } } } } } }, path: `${ESCORT_PLACES}.klang-a.workers.w2.address`, expected: /one worker only/ },
  { name: 'place in no domain', patch: { services: { 'escort-svc': { places: { ipoh: { workers: {} } } } } }, path: `${ESCORT_PLACES}.ipoh`, expected: /failure domain/ },
  { name: 'domain of two regions', patch: { regions: { penang: { failureDomains: ['klang-a', 'penang-a', 'penang-b'] } } }, path: 'regions.penang.failureDomains.0', expected: /one region only/ },
  { name: 'link to nowhere', patch: { links: [{ from: 'klang', to: 'ipoh', oneWayMs: 1, maxConcurrency: 1 }] }, path: 'links.0.to', expected: /name of a region/ },
  { name: 'link to itself', patch: { links: [{ from: 'klang', to: 'klang', oneWayMs: 1, maxConcurrency: 1 }] }, path: 'links.0.to', expected: /another region/ },
  { name: 'link twice', patch: { links: [1, 2].map((oneWayMs) => ({ from: 'klang', to: 'penang', oneWayMs, maxConcurrency: 1 })) }, path: 'links.1', expected: /each direction/ },
  { name: 'malformed client block', patch: { regions: { klang: { clientBlocks: ['10.0.0/8'] } } }, path: 'regions.klang.clientBlocks.0', expected: /CIDR/ },
  { name: 'client block of two regions', patch: { regions: { klang: { clientBlocks: ['::ffff:10.1.0.0/112'] } } }, path: 'regions.penang.clientBlocks.0', expected: /once/ },
  { name: 'route twice', patch: { services: { 'escort-svc': { routes: [{ prefix: '/a' }, { prefix: '/a' }] } } }, path: 'services.escort-svc.routes.1.prefix', expected: /once/ },
  { name: 'header with a space', patch: { services: { 'escort-svc': { refusal: { header: 'not run' } } } }, path: 'services.escort-svc.refusal.header', expected: /HTTP header/ },
  { name: 'drain of no region', patch: { drains: { regions: ['ipoh'] } }, path: 'drains.regions.0', expected: /name of a region/ },
  { name: 'drain of no domain', patch: { drains: { failureDomains: ['ipoh'] } }, path: 'drains.failureDomains.0', expected: /failure domain/ },
  { name: 'drain of no place', patch: { drains: { places: [{ service: 'docs-svc', failureDomain: 'klang-a' }] } }, path: 'drains.places.0.service', expected: /name of a service/ },
  { name: 'nothing left', patch: { drains: { regions: ['klang', 'penang'], failureDomains: ['kuching-a'], places: [{ service: 'escort-svc', failureDomain: 'kuching-b' }] } }, path: 'drains', expected: /left for service 'escort-svc'/ },
  { name: 'cap of zero with a drain', patch: { shiftCaps: { planned: 0 }, drains: { failureDomains: ['klang-a'] } }, path: 'shiftCaps.planned', expected: /fraction above 0/ },
  { name: 'clients cut off by a drain', patch: { links: [{ from: 'klang', to: 'penang', oneWayMs: 1, maxConcurrency: 1 }], drains: { regions: ['kuching'] } }, path: `${ESCORT_PLACES}`, expected: /clients of 'kuching'/ },
  { name: 'service without workers', patch: { services: { 'docs-svc': { places: {} } } }, path: 'services.docs-svc.places', expected: /one place with a worker/ }
]

describe('validateConfiguration', () => {
  it('accepts the sample and fills in defaults', () => {
    const checked = validateConfiguration(buildSampleInput())
    assert.ok(checked.ok)
    assert.equal(checked.val.entriesPerRegion, 2)
  })

  for (const { name, patch, path, expected } of CASES) {
    it(`names path and expectation: ${name}`, () => {
      const checked = validateConfiguration(jsonMergePatch.apply(buildSampleInput(), patch))
      assert.ok(checked.err)
      const found = checked.val.find((problem) => problem.path === path)
      assert.ok(found, `no problem at ${path}: ${JSON.stringify(checked.val)}`)
      assert.match(found.expected, expected)
    })
  }

  it('refuses a name that every object inherits', () => {
    const input = buildSampleInput()
    const services = input.services as Record<string, unknown>
    input.services = { ...services, constructor: services['escort-svc'] }
    const checked = validateConfiguration(input)
    assert.ok(checked.err)
    assert.ok(checked.val.some((problem) => problem.path === 'services.constructor'))
  })

  it('refuses what is no object', () => {
    for (const input of [null, 7, 'x', [], undefined]) assert.ok(validateConfiguration(input).err)
  })
})
