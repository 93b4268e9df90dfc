/** Admission at one entry VM: what starts, what waits, and what is refused on arrival. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SeededRandom } from '@umberspar/base/common/random'
import { PlacePool, type SlotGrant } from '@umberspar/daemon/node/places/placePool'
import { RequestKind } from '@umberspar/steering/common/configuration/configurationSchema'
import { AdmissionError } from '@umberspar/steering/common/limits/admissionError'
import fc from 'fast-check'
import { ManualClock } from '@umberspar/base/common/manualClock'

const SEED = 20_262
const MAX_QUEUE = 8

class PoolBench {
  readonly clock = new ManualClock()
  readonly pool = new PlacePool({ service: 's', failureDomain: 'd' }, this.clock, new SeededRandom(SEED), 1)

  constructor (slots: number) {
    this.pool.updateWorkers({ workers: { w: { address: '127.0.0.1:1', slots, connections: 100 } } })
    this.pool.update(new Map([[this.pool.getSlotKey('w'), { slots, connections: 100 }]]), Infinity, MAX_QUEUE)
  }

  async acquire (kind = RequestKind.Call, withinMs = 10_000, priority = 5): Promise<SlotGrant | AdmissionError | Error> {
    const deadline = this.clock.now() + withinMs
    const result = await this.pool.acquire({ kind, priority, deadline, excluded: new Set(), signal: new AbortController().signal })
    return result.val
  }

  /** Acquires and holds for a while; tells how it ended and when it began. */
  async run (kind: RequestKind, holdMs: number, withinMs = 10_000, priority = 5): Promise<number | undefined> {
    const grant = await this.acquire(kind, withinMs, priority)
    if (grant instanceof Error) return undefined
    const startedAt = this.clock.now()
    await new Promise<void>((resolve) => { this.clock.schedule(startedAt + holdMs, resolve) })
    grant.release()
    return startedAt
  }
}

describe('PlacePool', () => {
  /*
   * Story: at three times the capacity callers wait until their deadlines and get
   * nothing, and what does run was given up long ago. The queue lets in more than
   * can start in time.
   */
  it('refuses on arrival what would not start in time, and says when to come back', async () => {
    const bench = new PoolBench(2)
    const earlier = bench.run(RequestKind.Call, 100)
    await bench.clock.runFor(200)
    await earlier
    const running = [bench.run(RequestKind.Call, 100), bench.run(RequestKind.Call, 100)]
    await bench.clock.runFor(0)
    const tooLate = await bench.acquire(RequestKind.Call, 120)
    assert.ok(tooLate instanceof AdmissionError, 'its deadline leaves no time to wait for a slot')
    const waiting = Array.from({ length: MAX_QUEUE }, () => bench.run(RequestKind.Call, 100))
    const tooMany = await bench.acquire()
    assert.ok(tooMany instanceof AdmissionError, 'the queue is full')
    assert.equal(tooMany.retryAfterSeconds, 1)
    assert.equal(bench.clock.now(), 200, 'both were refused without a wait')
    await bench.clock.runFor(2000)
    const starts = await Promise.all([...running, ...waiting])
    assert.ok(starts.every((startedAt) => startedAt !== undefined), 'what was let in has run')
  })

  /*
   * Story: crews upload photo sets from weak links, each holds a slot for minutes,
   * and short look-ups of the same place find none; or look-ups never pause and
   * no upload begins.
   */
  it('lets neither uploads nor short calls starve the other', async () => {
    const bench = new PoolBench(4)
    const uploads = Array.from({ length: 6 }, () => bench.run(RequestKind.Upload, 5000))
    await bench.clock.runFor(0)
    assert.equal(bench.pool.inFlight, 3, 'uploads leave one slot')
    const call = bench.run(RequestKind.Call, 10)
    await bench.clock.runFor(20)
    assert.equal(await call, 0)
    await bench.clock.runFor(20_000)
    await Promise.all(uploads)
    const calls = Array.from({ length: 11 }, () => bench.run(RequestKind.Call, 50))
    const upload = bench.run(RequestKind.Upload, 50)
    const began = bench.clock.now()
    await bench.clock.runFor(1000)
    assert.equal(await upload, began + 50, 'the first slot that comes free is the upload\'s')
    await Promise.all(calls)
  })

  /*
   * Story: a caller goes away, its request is cancelled, and the worker sheds the
   * next one: it was still busy with the first when the second arrived.
   */
  it('keeps the slot of a cancelled attempt until the worker has surely heard', async () => {
    const bench = new PoolBench(1)
    const grant = await bench.acquire()
    assert.ok(!(grant instanceof Error))
    grant.release(bench.clock.now() + 30)
    const next = bench.run(RequestKind.Call, 10)
    await bench.clock.runFor(29)
    assert.equal(bench.pool.waiting, 1)
    await bench.clock.runFor(20)
    assert.equal(await next, 30)
  })

  it('never holds more than its slots, and answers everybody', async () => {
    const arrival = fc.record({ kind: fc.constantFrom(...Object.values(RequestKind)), holdMs: fc.integer({ min: 1, max: 80 }), withinMs: fc.integer({ min: 1, max: 400 }), priority: fc.integer({ min: 0, max: 9 }), gapMs: fc.integer({ min: 0, max: 15 }) })
    await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 5 }), fc.array(arrival, { minLength: 10, maxLength: 60 }), async (slots, arrivals) => {
      const bench = new PoolBench(slots)
      const runs: Array<Promise<number | undefined>> = []
      for (const { kind, holdMs, withinMs, priority, gapMs } of arrivals) {
        runs.push(bench.run(kind, holdMs, withinMs, priority))
        await bench.clock.runFor(gapMs)
        assert.ok(bench.pool.inFlight <= slots)
        assert.ok(bench.pool.waiting <= MAX_QUEUE)
      }
      await bench.clock.runFor(5000)
      await Promise.all(runs)
      assert.equal(bench.pool.inFlight, 0)
    }), { seed: SEED, numRuns: 60 })
  })
})
