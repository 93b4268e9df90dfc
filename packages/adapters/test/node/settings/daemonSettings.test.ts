import assert from 'node:assert/strict'
import { test } from 'node:test'
import { validateDaemonSettings } from '../../../src/node/settings/daemonSettings.js'

const FILES = { certificate: 'c.pem', key: 'k.pem' }
const BASE = {
  nodeId: 'entry-1',
  region: 'klang',
  failureDomain: 'klang-a',
  callers: { address: '127.0.0.1:1' },
  peers: { address: '127.0.0.1:2' },
  operators: { address: '127.0.0.1:3' },
  store: { endpoints: ['127.0.0.1:4'], keyPrefix: '/u/' },
  vmList: { url: 'http://127.0.0.1:5/v1/vms' }
}

function listPaths (changes: object): string[] {
  const checked = validateDaemonSettings({ ...BASE, ...changes })
  return checked.ok ? [] : checked.val.map(({ path }) => path)
}

test('tls sections and limits are accepted whole, and refused by the path of the field', () => {
  const { callers, peers, operators, store } = BASE
  assert.deepEqual(listPaths({}), [])
  assert.deepEqual(listPaths({
    callers: { ...callers, tls: FILES, limits: { maxConnections: 10 } },
    peers: { ...peers, tls: { ...FILES, ca: 'ca.pem', serverName: 'umberspard' } },
    operators: { ...operators, tls: FILES, limits: {} },
    store: { ...store, tls: { ca: 'ca.pem' } },
    upstreams: { tls: { ...FILES, ca: 'ca.pem' } },
    certificateRereadMs: 1000
  }), [])
  assert.deepEqual(listPaths({ peers: { ...peers, tls: FILES } }), ['peers.tls.ca'])
  assert.deepEqual(listPaths({ callers: { ...callers, tls: { ...FILES, key: '' } } }), ['callers.tls.key'])
  assert.deepEqual(listPaths({ callers: { ...callers, tls: { ...FILES, ca: 'ca.pem' } } }), ['callers.tls'])
  assert.deepEqual(listPaths({ store: { ...store, tls: { ca: 'ca.pem', key: 'k.pem' } } }), ['store.tls'])
  assert.deepEqual(listPaths({ callers: { ...callers, limits: { maxConnections: 0 } } }), ['callers.limits.maxConnections'])
  assert.deepEqual(listPaths({ callers: { ...callers, limits: { maxHeaderBytes: 2048 } } }), ['callers.limits.maxTargetBytes'])
  assert.deepEqual(listPaths({ certificateRereadMs: 1 }), ['certificateRereadMs'])
})
