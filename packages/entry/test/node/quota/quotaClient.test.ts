import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { NoGrantReason } from '../../../src/node/quota/accountQuota.js'
import { QuotaClient } from '../../../src/node/quota/quotaClient.js'
import { answerQuotaRequests, type QuotaRequest } from '../../../src/node/quota/quotaMessages.js'
import type { IQuotaTransport, QuotaTransportResponse, SentQuotaRequest } from '../../../src/node/quota/quotaTransport.js'

interface Message {
  readonly path: string
  readonly reply: (response: QuotaTransportResponse | undefined) => void
  isCancelled: boolean
}

/** Keeps messages until the test answers them. */
class HeldTransport implements IQuotaTransport {
  readonly messages: Message[] = []

  send (_address: string, path: string): SentQuotaRequest {
    const message: Message = { path, reply: () => {}, isCancelled: false }
    this.messages.push(message)
    const response = new Promise<QuotaTransportResponse | undefined>((resolve) => { Object.assign(message, { reply: resolve }) })
    return {
      response,
      cancel: () => {
        message.isCancelled = true
        message.reply(undefined)
      }
    }
  }

  close (): void {}
}

const OWNER = '127.0.0.1:1'

function createRequest (account: string): QuotaRequest {
  return { share: 'north-1-0', account, wanted: 1, unused: 0 }
}

describe('questions to the owner of a quota share', () => {
  let clock: ManualClock
  let transport: HeldTransport
  let client: QuotaClient

  beforeEach(() => {
    clock = new ManualClock()
    transport = new HeldTransport()
    client = new QuotaClient(clock, NULL_LOGGER, transport)
  })

  function answerAll (message: Message, given = 1): void {
    const query = new URLSearchParams(message.path.slice(message.path.indexOf('?')))
    const { status, body } = answerQuotaRequests(query, ({ account }) => account === 'moved' ? undefined : { given, waitMs: 0 })
    message.reply({ status, text: body })
  }

  // Guards against a message for each request while the owner is slow.
  it('that come while it has not answered leave as one message afterwards', async () => {
    const grants = ['a', 'b', 'moved', 'c'].map(async (account) => await client.ask(OWNER, createRequest(account), 0, () => {}))
    assert.equal(transport.messages.length, 1)
    answerAll(transport.messages[0]!)
    await clock.runFor(1)
    assert.equal(transport.messages.length, 2)
    answerAll(transport.messages[1]!)
    assert.deepEqual(await Promise.all(grants), [{ given: 1, waitMs: 0 }, { given: 1, waitMs: 0 }, NoGrantReason.NotOwned, { given: 1, waitMs: 0 }])
  })

  // Guards against requests that are lost at owners of a build that answers one request a message.
  it('are asked one after the other if it answers only the first of a message', async () => {
    const grants = ['a', 'b', 'c'].map(async (account) => await client.ask(OWNER, createRequest(account), 0, () => {}))
    for (let index = 0; index < 3; index++) {
      transport.messages[index]!.reply({ status: 200, text: JSON.stringify({ given: index, waitMs: 0 }) })
      await clock.runFor(1)
    }
    assert.deepEqual(await Promise.all(grants), [0, 1, 2].map((given) => ({ given, waitMs: 0 })))
  })

  // Guards against tokens that are lost because their owner was late, and against questions to others while all owners are slow.
  it('are late only if it takes much longer than usual, and a late answer counts', async () => {
    let lateCalls = 0
    for (const responseMs of [400, 400, 400]) {
      const grant = client.ask(OWNER, createRequest('a'), 0, () => { lateCalls++ })
      await clock.runFor(responseMs)
      answerAll(transport.messages.at(-1)!, 3)
      assert.deepEqual(await grant, { given: 3, waitMs: 0 })
    }
    assert.equal(lateCalls, 2)
  })

  // Guards against a message that is sent again and again, since its response grants nothing of it.
  it('fail if its response can\'t be read', async () => {
    const grants = ['a', 'b'].map(async (account) => await client.ask(OWNER, createRequest(account), 0, () => {}))
    for (let index = 0; index < 2; index++) {
      transport.messages[index]!.reply({ status: 200, text: JSON.stringify({ grants: [] }) })
      await clock.runFor(1)
    }
    assert.deepEqual(await Promise.all(grants), [NoGrantReason.Unresponsive, NoGrantReason.Unresponsive])
  })

  // Guards against waiting once for each message at an owner that has lost power.
  it('all fail when it does not answer in time', async () => {
    const grants = ['a', 'b'].map(async (account) => await client.ask(OWNER, createRequest(account), 0, () => {}))
    await clock.runFor(10_000)
    assert.deepEqual(await Promise.all(grants), [NoGrantReason.Unresponsive, NoGrantReason.Unresponsive])
    assert.deepEqual(transport.messages.map(({ isCancelled }) => isCancelled), [true])
  })
})
