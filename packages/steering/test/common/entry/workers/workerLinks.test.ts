import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import fc from 'fast-check'
import { LinkState, WorkerLinks } from '../../../../src/common/entry/workers/workerLinks.js'

const SEED = 520_001
const WORKERS = 12

describe('WorkerLinks', () => {
  let links: WorkerLinks
  let changes: string[]

  beforeEach(() => {
    changes = []
    links = new WorkerLinks(() => WORKERS, (service, state) => { changes.push(`${service} ${state}`) })
  })

  function failOpening (workers: readonly string[], at: number): void {
    for (const worker of workers) links.recordOpenFailure('archive', worker, at, at + 250)
  }

  // Guards against a sick worker that makes a VM relay its requests.
  it('stays connected however often connections to two workers fail', () => {
    for (let at = 0; at < 60_000; at += 500) failOpening(['w-1', 'w-2'], at)
    assert.equal(links.isDisconnected('archive'), false)
  })

  it('is disconnected once connections to three workers fail while none opens, and only for that service', () => {
    failOpening(['w-1', 'w-2'], 0)
    links.recordOpened('archive', 'w-4', 260)
    failOpening(['w-1', 'w-2'], 300)
    assert.equal(links.isDisconnected('archive'), false)
    failOpening(['w-3'], 600)
    assert.deepEqual(links.listDisconnected(), ['archive'])
    assert.equal(links.isDisconnected('ledger'), false)
  })

  it('forgets failures of long ago', () => {
    failOpening(['w-1', 'w-2'], 0)
    failOpening(['w-3'], 10_000)
    assert.equal(links.isDisconnected('archive'), false)
  })

  it('is disconnected if connections to all of few workers fail', () => {
    const few = new WorkerLinks(() => 1, () => {})
    few.recordOpenFailure('archive', 'w-1', 0, 250)
    assert.equal(few.isDisconnected('archive'), true)
    few.recordOpened('archive', 'w-1', 500)
    assert.equal(few.isDisconnected('archive'), false)
  })

  it('is connected again once connections to two workers open with no failure between them', () => {
    failOpening(['w-1', 'w-2', 'w-3'], 0)
    links.recordOpened('archive', 'w-1', 500)
    links.recordOpenFailure('archive', 'w-2', 500, 750)
    links.recordOpened('archive', 'w-3', 1_000)
    assert.equal(links.isDisconnected('archive'), true)
    links.recordOpened('archive', 'w-4', 1_001)
    assert.equal(links.isDisconnected('archive'), false)
    assert.deepEqual(changes, [`archive ${LinkState.Disconnected}`, `archive ${LinkState.Connected}`])
  })

  it('uses open connections only while responses arrive that were not under way at the cut', () => {
    links.recordResponse('archive', 0)
    failOpening(['w-1', 'w-2', 'w-3'], 10)
    assert.equal(links.isResponding('archive', 300), false)
    links.recordResponse('archive', 60)
    assert.equal(links.isResponding('archive', 300), false)
    links.recordResponse('archive', 400)
    assert.equal(links.isResponding('archive', 410), true)
    assert.equal(links.isResponding('archive', 5_000), false)
  })

  it('never counts as disconnected right after a connection opened while it was connected', () => {
    const events = fc.array(fc.record({ worker: fc.integer({ min: 0, max: WORKERS - 1 }), opens: fc.boolean(), afterMs: fc.integer({ min: 0, max: 1_000 }) }), { maxLength: 60 })
    fc.assert(fc.property(events, (list) => {
      const each = new WorkerLinks(() => WORKERS, () => {})
      let now = 0
      for (const { worker, opens, afterMs } of list) {
        now += afterMs
        const wasDisconnected = each.isDisconnected('archive')
        if (opens) each.recordOpened('archive', `w-${worker}`, now)
        else each.recordOpenFailure('archive', `w-${worker}`, now, now)
        if (opens && !wasDisconnected) assert.equal(each.isDisconnected('archive'), false)
      }
    }), { seed: SEED })
  })
})
