/** Tests that every error in a configuration is reported with its path and the expected value. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import jsonMergePatch from 'json-merge-patch'
import { validateConfiguration } from '../../../src/common/configuration/validateConfiguration.js'
import { buildSampleInput } from '../sampleConfiguration.js'

interface InvalidCase {
  readonly name: string
  /** A merge patch that makes the sample configuration invalid. */
  readonly patch: unknown
  readonly path: string
  readonly expected: RegExp
}

const ESCORT_PLACES = 'services.escort-svc.places'

const INVALID_CASES: readonly InvalidCase[] = [
  { name: 'missing field', patch: { shiftCaps: { planned: null } }, path: 'shiftCaps.planned', expected: /number/ },
  { name: 'shift cap of zero', patch: { shiftCaps: { planned: 0 } }, path: 'shiftCaps.planned', expected: /fraction above 0/ },
  { name: 'number too small', patch: { entriesPerRegion: 0 }, path: 'entriesPerRegion', expected: /at least 1/ },
  { name: 'number too large', patch: { entriesPerRegion: 65 }, path: 'entriesPerRegion', expected: /at most 64/ },
  { name: 'unknown enum value', patch: { services: { 'escort-svc': { routes: [{ prefix: '/', repeat: 'often' }] } } }, path: 'services.escort-svc.routes.0.repeat', expected: /one of "by-method", "idempotent"/ },
  { name: 'malformed name', patch: { services: { Escort: { places: {} } } }, path: 'services.Escort', expected: /lower-case/ },
  { name: 'unknown field', patch: { shiftCaps: { plannned: 0.1 } }, path: 'shiftCaps.plannned', expected: /no field/ },
  { name: 'unknown field at the top', patch: { shift: 1 }, path: 'shift', expected: /no field/ },
  { name: 'malformed address', patch: { services: { 'escort-svc': { places: { 'klang-a': { workers: { w1: { address: 'localhost:80' } } } } } } }, path: `${ESCORT_PLACES}.klang-a.workers.w1.address`, expected: /IP address and port/ },
  { name: 'address beyond 255', patch: { services: { 'escort-svc': { places: { 'klang-a': { workers: { w1: { address: '10.0.0.256:80' } } } } } } }, path: `${ESCORT_PLACES}.klang-a.workers.w1.address`, expected: /IP address/ },
  { name: 'address used twice', patch: { services: { 'escort-svc': { places: { 'klang-a': { workers: { w2: { address: '10.9.0.1:8080' } } } } } } }, path: `${ESCORT_PLACES}.klang-a.workers.w2.address`, expected: /only one worker/ },
  { name: 'place in an unknown domain', patch: { services: { 'escort-svc': { places: { ipoh: { workers: {} } } } } }, path: `${ESCORT_PLACES}.ipoh`, expected: /failure domain/ },
  { name: 'domain of two regions', patch: { regions: { penang: { failureDomains: ['klang-a', 'penang-a', 'penang-b'] } } }, path: 'regions.penang.failureDomains.0', expected: /only one region/ },
  { name: 'link to an unknown region', patch: { links: [{ from: 'klang', to: 'ipoh', oneWayMs: 1, maxConcurrency: 1 }] }, path: 'links.0.to', expected: /name of a region/ },
  { name: 'link to the same region', patch: { links: [{ from: 'klang', to: 'klang', oneWayMs: 1, maxConcurrency: 1 }] }, path: 'links.0.to', expected: /region other than 'from'/ },
  { name: 'duplicate link', patch: { links: [1, 2].map((oneWayMs) => ({ from: 'klang', to: 'penang', oneWayMs, maxConcurrency: 1 })) }, path: 'links.1', expected: /only one link for each direction/ },
  { name: 'malformed client block', patch: { regions: { klang: { clientBlocks: ['10.0.0/8'] } } }, path: 'regions.klang.clientBlocks.0', expected: /CIDR/ },
  { name: 'client block of two regions', patch: { regions: { klang: { clientBlocks: ['::ffff:10.1.0.0/112'] } } }, path: 'regions.penang.clientBlocks.0', expected: /once/ },
  { name: 'duplicate route', patch: { services: { 'escort-svc': { routes: [{ prefix: '/a' }, { prefix: '/a' }] } } }, path: 'services.escort-svc.routes.1.prefix', expected: /once/ },
  { name: 'header with a space', patch: { services: { 'escort-svc': { refusal: { header: 'not run' } } } }, path: 'services.escort-svc.refusal.header', expected: /HTTP header/ },
  { name: 'drain of an unknown region', patch: { drains: { regions: ['ipoh'] } }, path: 'drains.regions.0', expected: /name of a region/ },
  { name: 'drain of an unknown domain', patch: { drains: { failureDomains: ['ipoh'] } }, path: 'drains.failureDomains.0', expected: /failure domain/ },
  { name: 'drain of an unknown place', patch: { drains: { places: [{ service: 'docs-svc', failureDomain: 'klang-a' }] } }, path: 'drains.places.0.service', expected: /name of a service/ },
  { name: 'drain of all places', patch: { drains: { regions: ['klang', 'penang'], failureDomains: ['kuching-a'], places: [{ service: 'escort-svc', failureDomain: 'kuching-b' }] } }, path: 'drains', expected: /left for service 'escort-svc'/ },
  { name: 'shift cap of zero with a drain', patch: { shiftCaps: { planned: 0 }, drains: { failureDomains: ['klang-a'] } }, path: 'shiftCaps.planned', expected: /fraction above 0/ },
  { name: 'clients that reach no place because of a drain', patch: { links: [{ from: 'klang', to: 'penang', oneWayMs: 1, maxConcurrency: 1 }], drains: { regions: ['kuching'] } }, path: `${ESCORT_PLACES}`, expected: /clients of 'kuching'/ },
  { name: 'service without workers', patch: { services: { 'docs-svc': { places: {} } } }, path: 'services.docs-svc.places', expected: /one place with a worker/ }
]

describe('validateConfiguration', () => {
  it('accepts the sample configuration and fills in defaults', () => {
    const result = validateConfiguration(buildSampleInput())
    assert.ok(result.ok)
    assert.equal(result.val.entriesPerRegion, 2)
  })

  for (const { name, patch, path, expected } of INVALID_CASES) {
    it(`reports the path and the expected value: ${name}`, () => {
      const result = validateConfiguration(jsonMergePatch.apply(buildSampleInput(), patch))
      assert.ok(result.err)
      const matchingProblem = result.val.find((problem) => problem.path === path)
      assert.ok(matchingProblem, `no problem at ${path}: ${JSON.stringify(result.val)}`)
      assert.match(matchingProblem.expected, expected)
    })
  }

  it('rejects a name that every object inherits', () => {
    const input = buildSampleInput()
    const services = input.services as Record<string, unknown>
    input.services = { ...services, constructor: services['escort-svc'] }
    const result = validateConfiguration(input)
    assert.ok(result.err)
    assert.ok(result.val.some((problem) => problem.path === 'services.constructor'))
  })

  it('rejects input that is not an object', () => {
    for (const input of [null, 7, 'x', [], undefined]) assert.ok(validateConfiguration(input).err)
  })
})
