import assert from 'node:assert/strict'
import { test } from 'node:test'
import { validateDaemonSettings } from '../../../src/node/settings/daemonSettings.js'

const TLS_FILES = { certificate: 'c.pem', key: 'k.pem' }
const VALID_SETTINGS = {
  nodeId: 'entry-1',
  region: 'klang',
  failureDomain: 'klang-a',
  callers: { address: '127.0.0.1:1' },
  peers: { address: '127.0.0.1:2' },
  operators: { address: '127.0.0.1:3' },
  store: { endpoints: ['127.0.0.1:4'], keyPrefix: '/u/' },
  vmList: { url: 'http://127.0.0.1:5/v1/vms' }
}

function listRefusedPaths (changes: object): string[] {
  const checked = validateDaemonSettings({ ...VALID_SETTINGS, ...changes })
  return checked.ok ? [] : checked.val.map(({ path }) => path)
}

test('accepts complete tls sections and limits, and reports the path of an invalid field', () => {
  const { callers, peers, operators, store } = VALID_SETTINGS
  assert.deepEqual(listRefusedPaths({}), [])
  assert.deepEqual(listRefusedPaths({
    callers: { ...callers, tls: TLS_FILES, limits: { maxConnections: 10 } },
    peers: { ...peers, tls: { ...TLS_FILES, ca: 'ca.pem', serverName: 'umberspard' } },
    operators: { ...operators, tls: TLS_FILES, limits: {} },
    store: { ...store, tls: { ca: 'ca.pem' } },
    upstreams: { tls: { ...TLS_FILES, ca: 'ca.pem' } },
    certificateRereadMs: 1000
  }), [])
  assert.deepEqual(listRefusedPaths({ peers: { ...peers, tls: TLS_FILES } }), ['peers.tls.ca'])
  assert.deepEqual(listRefusedPaths({ callers: { ...callers, tls: { ...TLS_FILES, key: '' } } }), ['callers.tls.key'])
  assert.deepEqual(listRefusedPaths({ callers: { ...callers, tls: { ...TLS_FILES, ca: 'ca.pem' } } }), ['callers.tls'])
  assert.deepEqual(listRefusedPaths({ store: { ...store, tls: { ca: 'ca.pem', key: 'k.pem' } } }), ['store.tls'])
  assert.deepEqual(listRefusedPaths({ callers: { ...callers, limits: { maxConnections: 0 } } }), ['callers.limits.maxConnections'])
  assert.deepEqual(listRefusedPaths({ callers: { ...callers, limits: { maxHeaderBytes: 2048 } } }), ['callers.limits.maxTargetBytes'])
  assert.deepEqual(listRefusedPaths({ certificateRereadMs: 1 }), ['certificateRereadMs'])
})
