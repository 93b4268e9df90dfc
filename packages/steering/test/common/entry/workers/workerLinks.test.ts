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

  describe('while other workers answer on kept connections', () => {
    let checks: string[][]

    beforeEach(() => {
      checks = []
      links = new WorkerLinks(() => WORKERS, (service, state) => { changes.push(`${service} ${state}`) }, (_service, workers) => { checks.push([...workers]) })
    })

    function refuse (workers: readonly string[], at: number): void {
      for (const worker of workers) links.recordOpenFailure('archive', worker, at - 1, at, true)
    }

    // Guards against VMs that take crashed workers for lost links and refuse the requests that the others could serve.
    it('stays connected when connections to three crashed workers are refused', () => {
      refuse(['w-1', 'w-2'], 1_000)
      links.recordResponse('archive', 1_150, 'w-4')
      refuse(['w-3'], 1_200)
      assert.equal(links.isDisconnected('archive'), false)
      assert.deepEqual(checks, [['w-4']])
      links.recordOpened('archive', 'w-4', 1_205)
      refuse(['w-1', 'w-2'], 1_210)
      assert.equal(links.isDisconnected('archive'), false)
    })

    it('stays connected when connections to three workers without power get no answer', () => {
      failOpening(['w-1', 'w-2'], 1_000)
      links.recordResponse('archive', 1_300, 'w-4')
      failOpening(['w-3'], 1_200)
      assert.equal(links.isDisconnected('archive'), false)
      assert.deepEqual(checks, [['w-4']])
    })

    it('checks the workers of the latest contact before it concludes from refusals that come at once', () => {
      links.recordOpened('archive', 'w-4', 900)
      links.recordResponse('archive', 950, 'w-5')
      refuse(['w-1', 'w-2', 'w-3'], 1_000)
      assert.deepEqual(checks, [['w-5', 'w-4']])
      assert.equal(links.isDisconnected('archive'), false)
    })

    // Guards against VMs that never relay while kept connections live on and new ones are refused.
    it('is disconnected once the workers that answered refuse new connections too', () => {
      const kept = ['w-4', 'w-5', 'w-6', 'w-7', 'w-8']
      for (const worker of kept) links.recordResponse('archive', 950, worker)
      refuse(['w-1', 'w-2', 'w-3'], 1_000)
      refuse(['w-4', 'w-5'], 1_001)
      assert.equal(links.isDisconnected('archive'), false)
      for (const worker of kept) links.recordResponse('archive', 1_002, worker)
      refuse(['w-6'], 1_003)
      assert.equal(links.isDisconnected('archive'), true)
    })

    it('is disconnected at once if connections get no answer and no response arrives', () => {
      links.recordResponse('archive', 950, 'w-4')
      failOpening(['w-1', 'w-2', 'w-3'], 1_000)
      assert.equal(links.isDisconnected('archive'), true)
      assert.equal(links.mayBeReachable('archive', 1_300), false)
    })

    it('checks again if checks had no result', () => {
      links.recordResponse('archive', 950, 'w-4')
      refuse(['w-1', 'w-2', 'w-3'], 1_000)
      links.recordResponse('archive', 2_000, 'w-4')
      refuse(['w-2'], 2_100)
      assert.deepEqual(checks, [['w-4'], ['w-4']])
    })

    // Guards against a check of long ago that confirms a loss before any worker was checked.
    it('begins a new check once the failures of the last one are forgotten', () => {
      for (const worker of ['w-4', 'w-5', 'w-6', 'w-7']) links.recordResponse('archive', 950, worker)
      refuse(['w-1', 'w-2', 'w-3', 'w-4', 'w-5'], 1_000)
      for (const worker of ['w-4', 'w-5', 'w-6', 'w-7']) links.recordResponse('archive', 9_950, worker)
      refuse(['w-1', 'w-2', 'w-3', 'w-6'], 10_000)
      assert.equal(checks.length, 2)
      assert.equal(links.isDisconnected('archive'), false)
    })

    it('may be reachable after refusals while other workers were in contact lately', () => {
      refuse(['w-1', 'w-2', 'w-3'], 1_000)
      assert.equal(links.isDisconnected('archive'), true)
      assert.equal(links.mayBeReachable('archive', 1_010), false)
      links.recordResponse('archive', 1_050, 'w-4')
      assert.equal(links.mayBeReachable('archive', 1_060), true)
      assert.equal(links.mayBeReachable('archive', 5_000), false)
    })

    it('is disconnected after as many failures as there are workers, whatever they answered before', () => {
      fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: WORKERS - 1 })), fc.boolean(), (answered, isRefused) => {
        const each = new WorkerLinks(() => WORKERS, () => {})
        for (const worker of answered) each.recordResponse('archive', 900, `w-${worker}`)
        for (let worker = 0; worker < WORKERS; worker++) each.recordOpenFailure('archive', `w-${worker}`, 999, 1_000 + worker, isRefused)
        assert.equal(each.isDisconnected('archive'), true)
      }), { seed: SEED })
    })
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
