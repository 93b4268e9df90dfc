import assert from 'node:assert/strict'
import { test } from 'node:test'
import { TrustedForwarders } from '../../../src/node/callers/forwardedFor.js'

const trusted = new TrustedForwarders(['10.0.0.0/8', 'fd00::/8'])

// A caller writes another region's address into X-Forwarded-For, alone or left of
// what a real forwarder appends, to be routed and rate limited as another client.
const CLIENTS: ReadonlyArray<readonly [string, string | undefined, string]> = [
  ['192.0.2.1', undefined, '192.0.2.1'],
  ['192.0.2.1', '198.51.100.7', '192.0.2.1'],
  ['10.0.0.1', undefined, '10.0.0.1'],
  ['10.0.0.1', '198.51.100.7', '198.51.100.7'],
  ['::ffff:10.0.0.1', '198.51.100.7', '198.51.100.7'],
  ['::FFFF:192.0.2.1', '198.51.100.7', '192.0.2.1'],
  ['10.0.0.1', '203.0.113.9, 198.51.100.7', '198.51.100.7'],
  ['10.0.0.1', '203.0.113.9, 198.51.100.7, 10.0.0.2', '198.51.100.7'],
  ['fd00::1', '2001:db8::5, [fd00::2]:4711', '2001:db8::5'],
  ['10.0.0.1', '198.51.100.7:4711', '198.51.100.7'],
  ['10.0.0.1', '::ffff:198.51.100.7', '198.51.100.7'],
  ['10.0.0.1', '10.0.0.3, 10.0.0.2', '10.0.0.3'],
  ['10.0.0.1', '198.51.100.7, unknown', '10.0.0.1'],
  ['10.0.0.1', '', '10.0.0.1'],
  ['10.0.0.1', '198.51.100.7,', '10.0.0.1'],
  ['fe80::1%eth0', '198.51.100.7', 'fe80::1']
]

test('the client is the first address, from the nearest hop outwards, that is not a configured forwarder', () => {
  for (const [direct, forwarded, client] of CLIENTS) {
    assert.equal(trusted.findClient(direct, forwarded), client, `${direct} ${forwarded}`)
  }
})

test('upstreams receive the socket\'s address last, and received hops only from a configured forwarder', () => {
  assert.equal(trusted.buildHeader('::ffff:192.0.2.1', '198.51.100.7'), '192.0.2.1')
  assert.equal(trusted.buildHeader('10.0.0.1', '198.51.100.7'), '198.51.100.7, 10.0.0.1')
  assert.equal(trusted.buildHeader('10.0.0.1', undefined), '10.0.0.1')
})
