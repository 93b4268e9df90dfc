import assert from 'node:assert/strict'
import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { deflateRawSync } from 'node:zlib'
import { ElapsedClock } from '@umberspar/base/common/elapsedClock'
import { type ILogger, type LogContext, LogLevel, NULL_LOGGER } from '@umberspar/base/common/logger'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { SeededRandom } from '@umberspar/base/common/random'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { formatRecordLine, type RecordLine } from '../../../src/common/recordLines.js'
import { RecordSubscriber } from '../../../src/node/peers/recordSubscriber.js'

/** An entry VM that sends the lines that a test chooses. */
class FakePublisher {
  readonly responses: ServerResponse[] = []
  readonly requestedUrls: string[] = []
  private readonly server: Server
  address = ''

  /** @param delayMs how long it takes to respond */
  constructor (private readonly firstLine: string, delayMs = 0) {
    this.server = createServer((request, response) => {
      this.requestedUrls.push(request.url ?? '')
      this.responses.push(response)
      if (delayMs === 0) response.write(this.firstLine)
      else setTimeout(() => { response.write(this.firstLine) }, delayMs)
    })
  }

  async listen (): Promise<this> {
    await new Promise<void>((resolve) => { this.server.listen(0, '127.0.0.1', resolve) })
    this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`
    return this
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }
}

function formatLine (line: Partial<RecordLine>): string {
  return formatRecordLine({ era: 1, revision: 5, holdMs: 0, clockMs: 0, ...line })
}

const STEPS = 40
const STEP_MS = 500
/** One in 4 s, and some at first. */
const MAX_SUBSCRIPTIONS = 8
/** Turns of the event loop in which a new connection is accepted. */
const TURNS_PER_STEP = 20

async function runTurn (): Promise<void> {
  await new Promise<void>((resolve) => { setImmediate(resolve) })
}

describe('the record subscriber', { timeout: 30_000 }, () => {
  const clock = new SystemClock()
  let publishers: FakePublisher[]
  let received: RecordLine[]
  let warnings: LogContext[]
  let subscriber: RecordSubscriber
  let onChange: () => void
  let canApply: (line: RecordLine) => boolean

  beforeEach(() => {
    publishers = []
    received = []
    warnings = []
    onChange = () => {}
    canApply = () => true
    const logger: ILogger = { log: (level, context) => { if (level === LogLevel.Warn) warnings.push(context) }, createChild: () => logger }
    subscriber = new RecordSubscriber('vm-1', clock, new ElapsedClock(clock), new SeededRandom(1), logger, () => {}, {
      getPosition: () => ({ era: 1, revision: 3 }),
      onLine: (line) => {
        received.push(line)
        onChange()
        return canApply(line)
      },
      onSourcesChanged: () => { onChange() }
    })
  })

  afterEach(() => {
    subscriber.close()
    for (const publisher of publishers) publisher.close()
  })

  async function addPublisher (first: string, delayMs?: number): Promise<FakePublisher> {
    const publisher = await new FakePublisher(first, delayMs).listen()
    publishers.push(publisher)
    return publisher
  }

  async function waitUntil (isTrue: () => boolean): Promise<void> {
    await new Promise<void>((resolve) => {
      onChange = () => { if (isTrue()) resolve() }
      onChange()
    })
  }

  it('subscribes to the first two sources, from the revision that this VM has', async () => {
    const [first, second, third] = [await addPublisher(formatLine({ via: ['a'] })), await addPublisher(formatLine({ via: ['b', 'c'] })), await addPublisher(formatLine({ via: ['d'] }))]
    subscriber.subscribeTo([first.address, second.address, third.address])
    await waitUntil(() => subscriber.countSources() === 2)
    assert.deepEqual(subscriber.via, ['a'])
    assert.deepEqual(first.requestedUrls, ['/v4/records?era=1&after=3'])
    assert.deepEqual(third.requestedUrls, [])
  })

  it('switches to the next source when one disconnects, and back when that one is available again', async () => {
    const [first, second, third] = [await addPublisher(formatLine({ via: ['a'] })), await addPublisher(formatLine({ via: ['b'] })), await addPublisher(formatLine({ via: ['c'] }))]
    subscriber.subscribeTo([first.address, second.address, third.address])
    await waitUntil(() => subscriber.countSources() === 2)
    first.responses[0]!.end()
    await waitUntil(() => third.requestedUrls.length === 1 && subscriber.countSources() === 2)
    await waitUntil(() => first.requestedUrls.length === 2 && subscriber.countSources() === 2)
  })

  it('tries other sources while its sources are not current', async () => {
    // Guards against staying with two sources that lost the store but still send
    // heartbeats, while other VMs have current records.
    const stale = [await addPublisher(formatLine({})), await addPublisher(formatLine({}))]
    const current = await addPublisher(formatLine({ via: ['c'] }))
    subscriber.subscribeTo([...stale, current].map(({ address }) => address))
    await waitUntil(() => subscriber.countSources() === 1)
    assert.deepEqual(subscriber.via, ['c'])
  })

  // Guards against VMs that give each other up and ask again, for ever, while all of them are late.
  it('waits for a source that responds late, and tries others meanwhile', async () => {
    const late = await addPublisher(formatLine({ via: ['a'] }), 1_500)
    const other = await addPublisher(formatLine({ via: ['b'] }))
    const third = await addPublisher(formatLine({ via: ['c'] }))
    subscriber.subscribeTo([late.address, other.address, third.address])
    await waitUntil(() => third.requestedUrls.length === 1 && subscriber.countSources() === 2)
    await waitUntil(() => received.some(({ via }) => via?.includes('a') === true))
    assert.equal(late.requestedUrls.length, 1)
  })

  // Guards against renewals each second at all VMs that add to the work because of which they come late.
  it('renews a subscription less often while all responses come late', async () => {
    const manualClock = new ManualClock()
    const publisher = await addPublisher('')
    const lines: RecordLine[] = []
    const late = new RecordSubscriber('vm-1', manualClock, new ElapsedClock(manualClock), new SeededRandom(1), NULL_LOGGER, () => {}, {
      getPosition: () => ({ era: 1, revision: 3 }),
      onLine: (line) => {
        lines.push(line)
        onChange()
        return true
      },
      onSourcesChanged: () => {}
    })
    late.subscribeTo([publisher.address])
    const isRequested = (): boolean => publisher.requestedUrls.length > 0
    while (!isRequested()) await runTurn()
    for (let step = 0; step < STEPS; step++) {
      // Each response takes a step, as all VMs are late.
      manualClock.stepBy(STEP_MS)
      const count = lines.length
      publisher.responses.at(-1)!.write(formatLine({ via: ['a'], clockMs: manualClock.now(), proofAgeMs: 0 }))
      await waitUntil(() => lines.length > count)
      for (let turn = 0; turn < TURNS_PER_STEP; turn++) await runTurn()
    }
    late.close()
    assert.ok(publisher.requestedUrls.length <= MAX_SUBSCRIPTIONS, `${publisher.requestedUrls.length} subscriptions in ${STEPS * STEP_MS} ms`)
  })

  it('does not treat a VM as current whose records passed through this VM', async () => {
    const publisher = await addPublisher(formatLine({ via: ['follower', 'vm-1', 'vm-2'] }))
    subscriber.subscribeTo([publisher.address])
    await waitUntil(() => received.length === 1)
    assert.equal(subscriber.via, undefined)
    assert.equal(received[0]!.via, undefined)
  })

  for (const [name, text] of [['no JSON', 'hello\n'], ['no revision', '{"via":["a"],"holdMs":0}\n'], ['a hold period that is not a number', '{"revision":1,"holdMs":"x"}\n'], ['a malformed update', '{"revision":1,"holdMs":0,"news":{"written":{}}}\n']] as const) {
    it(`disconnects from a VM that sends ${name}, and logs it`, async () => {
      const bad = await addPublisher(text)
      const good = await addPublisher(formatLine({ via: ['b'] }))
      subscriber.subscribeTo([bad.address, good.address])
      await waitUntil(() => warnings.length > 0 && subscriber.countSources() === 1)
      assert.equal(warnings[0]!.step, 'read-peer-records')
      assert.equal(warnings[0]!.peer, bad.address)
    })
  }

  it('does not rely on a source that is still in an earlier era of the store', async () => {
    // Guards against records that seem current because their source has not noticed that the store went back.
    const earlier = await addPublisher(formatLine({ era: 0, revision: 70, via: ['a'] }))
    const present = await addPublisher(formatLine({ era: 1, revision: 3, via: ['b'] }))
    subscriber.subscribeTo([earlier.address, present.address])
    await waitUntil(() => received.length === 2)
    assert.deepEqual(subscriber.via, ['b'])
  })

  it('reads lines that arrive in several chunks', async () => {
    const line = formatLine({ via: ['a'], news: { era: 1, revision: 5, isWhole: false, gaps: [], written: [], removed: [{ key: 'w/é', revision: 5 }] } })
    const publisher = await addPublisher('')
    subscriber.subscribeTo([publisher.address])
    const bytes = Buffer.from(line)
    const sendNext = (at: number): void => {
      if (at >= bytes.length) return
      publisher.responses[0]!.write(bytes.subarray(at, at + 7))
      setImmediate(() => { sendNext(at + 7) })
    }
    const waitForResponse = (): void => {
      if (publisher.responses.length > 0) sendNext(0)
      else setImmediate(waitForResponse)
    }
    waitForResponse()
    await waitUntil(() => received.length === 1)
    assert.equal(received[0]!.news?.removed[0]?.key, 'w/é')
  })

  it('replaces a source that stops sending', async () => {
    const silent = await addPublisher(formatLine({ via: ['a'] }))
    const other = await addPublisher(formatLine({ via: ['b'] }))
    const third = await addPublisher(formatLine({ via: ['c'] }))
    subscriber.subscribeTo([silent, other, third].map(({ address }) => address))
    const heartbeat = setInterval(() => { for (const { responses } of [other, third]) for (const response of responses) response.write(formatLine({ via: ['b'] })) }, 300)
    await waitUntil(() => third.requestedUrls.length === 1)
    clearInterval(heartbeat)
    assert.equal(other.requestedUrls.length, 1)
  })

  it('requests a full snapshot when an update does not apply to its records', async () => {
    const publisher = await addPublisher(formatLine({ via: ['a'] }))
    canApply = () => received.length > 1
    subscriber.subscribeTo([publisher.address])
    await waitUntil(() => received.length === 2)
    assert.deepEqual(publisher.requestedUrls, ['/v4/records?era=1&after=3', '/v4/records?era=0&after=0'])
    assert.equal(subscriber.countSources(), 1)
  })

  it('disconnects from a VM whose compressed line is invalid or decompresses to too much', async () => {
    for (const text of ['zAAAA\n', `z${deflateRawSync(Buffer.alloc(32_000_000)).toString('base64')}\n`]) {
      warnings = []
      const bad = await addPublisher(text)
      subscriber.subscribeTo([bad.address])
      await waitUntil(() => warnings.length > 0)
      assert.equal(warnings[0]!.step, 'read-peer-records')
    }
  })
})
