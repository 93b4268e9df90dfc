import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RecordKind, type SteeringRecord, UpstreamState } from '@umberspar/steering/common/entry/records'
import { RouteKind, type RoutePolicy, type SteeringDocument } from '@umberspar/steering/common/entry/steeringDocument'
import { LinkWorld } from './linkWorld.js'

/** Within which a change must be in force on all VMs, in milliseconds. */
const CHANGE_LIMIT_MS = 3_000
/** A VM that watches the store gathers changes for so long, in milliseconds. */
const GATHER_MS = 600
/** A VM that falls silent on the way is found after so long, in milliseconds. */
const SILENCE_MS = 1_500
/** What is left for the way from the VMs that watch the store to all others. */
const WAY_MS = CHANGE_LIMIT_MS - GATHER_MS - SILENCE_MS
const LINK_MBPS = 7
const LARGE_LINK_MBPS = 140
const VMS_PER_DOMAIN = 10
const MOST_MS = 30_000

function createRoute (index: number): RoutePolicy {
  return {
    name: `r-${(index * 7_919 % 999_983).toString(36)}`,
    host: `${(index * 104_729 % 99_991).toString(36)}.example`,
    prefix: `/${(index * 15_485_863 % 9_999_991).toString(36)}/`,
    kind: RouteKind.Idempotent,
    parts: [{ service: 'archive', weight: 1 }],
    timeoutMs: 2_500,
    goalMs: 441,
    attempts: 2,
    priority: 2,
    isSticky: true,
    homeRegions: [],
    isOpen: false
  }
}

function createDocument (version: number, routes: number, change: Partial<RoutePolicy> = {}): SteeringDocument {
  const all = Array.from({ length: routes }, (_, index) => createRoute(index))
  all[0] = { ...all[0]!, ...change }
  return { version, routes: all, services: [], limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerMs: 3_000, idleMs: 15_000 } }
}

function createRecord (value: SteeringDocument, revision: number): SteeringRecord {
  return { kind: RecordKind.Document, key: 'configuration', revision, value }
}

function createWorker (state: UpstreamState, revision: number): SteeringRecord {
  return { kind: RecordKind.Upstream, key: 'w/1', revision, value: { id: '1', service: 'archive', address: '127.0.0.1:1', domain: 'a-1', slots: 4, state, coldMs: 0 } }
}

describe('changes among entry VMs with slow links', () => {
  it('reach all in time though the configuration has become large', async () => {
    // An operator changed one route of 860. Callers got 404 for a route that had been
    // added 3.4 s before, were served by one that had been removed, and reached workers
    // that had left. Each VM wrote the whole configuration, 215 kB, to some ten others and
    // heard it from two, so that links of 7 Mbit/s were full for seconds. What settled it:
    //   second 14: front-penang-b-4 sent 827 kB and received 4 kB, at 0 % of its processor;
    //   version 17, taken by the store at 12.2 s, was adopted at 12.3 s by the first VM, at
    //   14.8 s by the median and at 17.4 s by the last.
    const world = new LinkWorld(VMS_PER_DOMAIN, () => LINK_MBPS, [createRecord(createDocument(14, 860), 14)])
    world.write((revision) => createRecord(createDocument(17, 860, { homeRegions: ['a'] }), revision))
    const tookMs = await world.measureUntil(({ version }) => version === 17, MOST_MS)
    assert.ok(tookMs <= WAY_MS, `${tookMs} ms`)
    for (const { document } of world.vms) assert.deepEqual(document, createDocument(17, 860, { homeRegions: ['a'] }))
  })

  it('reach all in time when very much changes at once', async () => {
    const world = new LinkWorld(VMS_PER_DOMAIN, () => LINK_MBPS, [createRecord(createDocument(12, 4), 12)])
    world.write((revision) => createRecord(createDocument(14, 1_404), revision))
    const tookMs = await world.measureUntil(({ version }) => version === 14, MOST_MS)
    assert.ok(tookMs <= WAY_MS, `${tookMs} ms`)
  })

  it('of workers reach all in time right behind a large change of the configuration', async () => {
    // A worker said that it leaves while a configuration of 860 routes was on its way; 3 s
    // later it still got requests, since the news of it waited behind that configuration.
    const world = new LinkWorld(VMS_PER_DOMAIN, () => LINK_MBPS, [createRecord(createDocument(12, 4), 12), createWorker(UpstreamState.Ready, 11)])
    world.write((revision) => createRecord(createDocument(14, 860), revision))
    await world.clock.runFor(50)
    world.write((revision) => createWorker(UpstreamState.Draining, revision))
    const isKnown = ({ table }: LinkWorld['vms'][number]): boolean => {
      const record = table.get('w/1')
      return record?.kind === RecordKind.Upstream && record.value.state === UpstreamState.Draining
    }
    const tookMs = await world.measureUntil(isKnown, MOST_MS)
    assert.ok(tookMs <= WAY_MS, `${tookMs} ms`)
  })

  it('reach all in time at the end of a series of changes', async () => {
    // Every change was written to each listener, also while the one before it was still
    // on its way: what all would know at the end waited behind all that was out of date.
    const world = new LinkWorld(VMS_PER_DOMAIN, () => LINK_MBPS, [createRecord(createDocument(20, 860), 20)])
    for (let version = 21; version <= 30; version++) {
      world.write((revision) => createRecord(createDocument(version, 860 + version * 20), revision))
      await world.clock.runFor(100)
    }
    const tookMs = await world.measureUntil(({ version }) => version === 30, MOST_MS)
    assert.ok(tookMs <= WAY_MS, `${tookMs} ms`)
  })

  it('are carried by the VMs that have room on their links', async () => {
    const world = new LinkWorld(VMS_PER_DOMAIN, (index) => index < 2 ? LARGE_LINK_MBPS : LINK_MBPS, [createRecord(createDocument(12, 4), 12)])
    world.write((revision) => createRecord(createDocument(14, 1_404), revision))
    const tookMs = await world.measureUntil(({ version }) => version === 14, MOST_MS)
    assert.ok(tookMs <= WAY_MS, `${tookMs} ms`)
    for (const { node, sentBytes } of world.vms) {
      if (node.linkMbps === LINK_MBPS) assert.equal(sentBytes, 0, node.name)
    }
  })
})
