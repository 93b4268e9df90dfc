import assert from 'node:assert/strict'
import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { deflateRawSync } from 'node:zlib'
import { ElapsedClock } from '@umberspar/base/common/elapsedClock'
import { type ILogger, type LogContext, LogLevel } from '@umberspar/base/common/logger'
import { SeededRandom } from '@umberspar/base/common/random'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { formatRecordLine, type RecordLine } from '../../../src/common/recordLines.js'
import { RecordHearer } from '../../../src/node/peers/recordHearer.js'

/** An entry VM that says what a test wants it to. */
class Teller {
  readonly responses: ServerResponse[] = []
  readonly asked: string[] = []
  private readonly server: Server
  address = ''

  constructor (private readonly first: string) {
    this.server = createServer((request, response) => {
      this.asked.push(request.url ?? '')
      this.responses.push(response)
      response.write(this.first)
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

function format (line: Partial<RecordLine>): string {
  return formatRecordLine({ revision: 5, holdMs: 0, clockMs: 0, ...line })
}

describe('hearing of the records from others', { timeout: 30_000 }, () => {
  const clock = new SystemClock()
  let tellers: Teller[]
  let heard: RecordLine[]
  let warnings: LogContext[]
  let hearer: RecordHearer
  let onChange: () => void
  let canTake: (line: RecordLine) => boolean

  beforeEach(() => {
    tellers = []
    heard = []
    warnings = []
    onChange = () => {}
    canTake = () => true
    const logger: ILogger = { log: (level, context) => { if (level === LogLevel.Warn) warnings.push(context) }, createChild: () => logger }
    hearer = new RecordHearer('vm-1', clock, new ElapsedClock(clock), new SeededRandom(1), logger, {
      getRevision: () => 3,
      onLine: (line) => {
        heard.push(line)
        onChange()
        return canTake(line)
      },
      onSourcesChanged: () => { onChange() }
    })
  })

  afterEach(() => {
    hearer.close()
    for (const teller of tellers) teller.close()
  })

  async function addTeller (first: string): Promise<Teller> {
    const teller = await new Teller(first).listen()
    tellers.push(teller)
    return teller
  }

  async function waitUntil (isTrue: () => boolean): Promise<void> {
    await new Promise<void>((resolve) => {
      onChange = () => { if (isTrue()) resolve() }
      onChange()
    })
  }

  it('asks for what is new since the revision that is known, of the best two', async () => {
    const [first, second, third] = [await addTeller(format({ via: ['a'] })), await addTeller(format({ via: ['b', 'c'] })), await addTeller(format({ via: ['d'] }))]
    hearer.listenTo([first.address, second.address, third.address])
    await waitUntil(() => hearer.countSources() === 2)
    assert.deepEqual(hearer.via, ['a'])
    assert.deepEqual(first.asked, ['/v3/records?after=3'])
    assert.deepEqual(third.asked, [])
  })

  it('takes the next one when one ends, and goes back when it is there again', async () => {
    const [first, second, third] = [await addTeller(format({ via: ['a'] })), await addTeller(format({ via: ['b'] })), await addTeller(format({ via: ['c'] }))]
    hearer.listenTo([first.address, second.address, third.address])
    await waitUntil(() => hearer.countSources() === 2)
    first.responses[0]!.end()
    await waitUntil(() => third.asked.length === 1 && hearer.countSources() === 2)
    await waitUntil(() => first.asked.length === 2 && hearer.countSources() === 2)
  })

  it('asks further while those that it hears from are not sure of their records', async () => {
    // The two sources lost the store; the VM knew by them that they live, and stayed
    // with them while others had the newest records.
    const unsure = [await addTeller(format({})), await addTeller(format({}))]
    const sure = await addTeller(format({ via: ['c'] }))
    hearer.listenTo([...unsure, sure].map(({ address }) => address))
    await waitUntil(() => hearer.countSources() === 1)
    assert.deepEqual(hearer.via, ['c'])
  })

  it('does not take the word of a VM that has it from itself', async () => {
    const teller = await addTeller(format({ via: ['follower', 'vm-1', 'vm-2'] }))
    hearer.listenTo([teller.address])
    await waitUntil(() => heard.length === 1)
    assert.equal(hearer.via, undefined)
    assert.equal(heard[0]!.via, undefined)
  })

  for (const [name, text] of [['no JSON', 'hello\n'], ['no revision', '{"via":["a"],"holdMs":0}\n'], ['a hold that is no number', '{"revision":1,"holdMs":"x"}\n'], ['news of another shape', '{"revision":1,"holdMs":0,"news":{"written":{}}}\n']] as const) {
    it(`ends with a VM that sends ${name}, and tells of it`, async () => {
      const bad = await addTeller(text)
      const good = await addTeller(format({ via: ['b'] }))
      hearer.listenTo([bad.address, good.address])
      await waitUntil(() => warnings.length > 0 && hearer.countSources() === 1)
      assert.equal(warnings[0]!.step, 'read-peer-records')
      assert.equal(warnings[0]!.peer, bad.address)
    })
  }

  it('reads lines that come in pieces', async () => {
    const line = format({ via: ['a'], news: { revision: 5, isWhole: false, gaps: [], written: [], removed: [{ key: 'w/é', revision: 5 }] } })
    const teller = await addTeller('')
    hearer.listenTo([teller.address])
    const bytes = Buffer.from(line)
    const sendNext = (at: number): void => {
      if (at >= bytes.length) return
      teller.responses[0]!.write(bytes.subarray(at, at + 7))
      setImmediate(() => { sendNext(at + 7) })
    }
    const waitForResponse = (): void => {
      if (teller.responses.length > 0) sendNext(0)
      else setImmediate(waitForResponse)
    }
    waitForResponse()
    await waitUntil(() => heard.length === 1)
    assert.equal(heard[0]!.news?.removed[0]?.key, 'w/é')
  })

  it('finds a VM that says nothing any more, and asks the next', async () => {
    const silent = await addTeller(format({ via: ['a'] }))
    const other = await addTeller(format({ via: ['b'] }))
    const third = await addTeller(format({ via: ['c'] }))
    hearer.listenTo([silent, other, third].map(({ address }) => address))
    const beat = setInterval(() => { for (const { responses } of [other, third]) for (const response of responses) response.write(format({ via: ['b'] })) }, 300)
    await waitUntil(() => third.asked.length === 1)
    clearInterval(beat)
    assert.equal(other.asked.length, 1)
  })

  it('asks for everything when it is told what builds on something else than it knows', async () => {
    const teller = await addTeller(format({ via: ['a'] }))
    canTake = () => heard.length > 1
    hearer.listenTo([teller.address])
    await waitUntil(() => heard.length === 2)
    assert.deepEqual(teller.asked, ['/v3/records?after=3', '/v3/records?after=0'])
    assert.equal(hearer.countSources(), 1)
  })

  it('ends with a VM whose packed line unpacks to nothing or to far too much', async () => {
    for (const text of ['zAAAA\n', `z${deflateRawSync(Buffer.alloc(32_000_000)).toString('base64')}\n`]) {
      warnings = []
      const bad = await addTeller(text)
      hearer.listenTo([bad.address])
      await waitUntil(() => warnings.length > 0)
      assert.equal(warnings[0]!.step, 'read-peer-records')
    }
  })
})
