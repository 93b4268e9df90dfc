import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { PlatformWorkerStandIn } from '../../../src/node/standIns/usersPlatform/platformWorkerStandIn.js'

const WORK_MS = 60
/** Timers may end a little before their time. */
const TIMER_TOLERANCE_MS = 5

describe('the stand-in of the users\' workers', { timeout: 30_000 }, () => {
  let worker: PlatformWorkerStandIn
  let address: string

  beforeEach(async () => {
    worker = new PlatformWorkerStandIn('w-1')
    worker.workMs = WORK_MS
    address = await worker.listen()
  })

  afterEach(() => { worker.close() })

  async function callAtOnce (count: number): Promise<Array<{ readonly load: string | null, readonly afterMs: number }>> {
    const startedAt = performance.now()
    return await Promise.all(Array.from({ length: count }, async (_, index) => {
      const response = await fetch(`http://${address}/a/${index}`, { headers: { 'X-Umberspar-Request-Id': `${index}` } })
      return { load: response.headers.get('X-Umberspar-Server-Load'), afterMs: performance.now() - startedAt }
    }))
  }

  it('works on as many requests at a time as it has slots, and reports those that wait', async () => {
    worker.slots = 2
    const answers = (await callAtOnce(6)).sort((one, other) => one.afterMs - other.afterMs)
    for (const [index, { afterMs }] of answers.entries()) assert.ok(afterMs >= (Math.floor(index / 2) + 1) * WORK_MS - TIMER_TOLERANCE_MS, `answer ${index} after ${afterMs} ms`)
    const [running, waiting, slots] = answers[0]!.load!.split(',').map(Number)
    assert.deepEqual([running, slots], [2, 2])
    assert.ok(waiting! >= 2)
  })

  it('reports the load that was set while it has no slots', async () => {
    worker.load = '3,2,1'
    assert.deepEqual((await callAtOnce(2)).map(({ load }) => load), ['3,2,1', '3,2,1'])
  })
})
