/** Repetitions with an Idempotency-Key at another entry VM, over sockets. */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, it } from 'node:test'
import { Agent, request } from 'undici'
import type { Daemon } from '@umberspar/daemon/node/daemon'
import { CallKind } from '../../../src/node/standIns/keyValue/callCounts.js'
import { ExecutionKind } from '../../../src/node/standIns/upstream/executionEvent.js'
import { RequestFault } from '../../../src/node/standIns/upstream/workerFaults.js'
import { EntryUnderTest, ONCE_SERVICE } from './entryUnderTest.js'

/** Longer than a repetition takes on loopback. */
const STORE_SPAN_MS = 120
/** Longer than a daemon waits for a claim's release before it answers. */
const STORE_LATE_MS = 1_500
/** The least Retry-After, in seconds, while a release is not known to be written. */
const LEAST_RETRY_AFTER = 4

interface Answer {
  readonly status: number
  readonly type: string | undefined
  readonly outcome: string | undefined
  readonly retryAfter: number | undefined
}

let entry: EntryUnderTest
let another: Daemon
let agent: Agent

beforeEach(async () => {
  agent = new Agent()
  entry = await EntryUnderTest.start()
  another = await entry.startAnother()
})

afterEach(async () => {
  await agent.close()
  await entry.close()
})

async function sendPayment (daemon: Daemon, id: string, key: string): Promise<Answer> {
  const headers = { 'umberspar-request-id': id, 'idempotency-key': key, 'umberspar-timeout-ms': '20000' }
  const { statusCode, headers: answered, body } = await request(entry.getUrl(ONCE_SERVICE, '/pay', daemon), { method: 'POST', dispatcher: agent, headers, body: 'body' })
  const { type, outcome } = await body.json() as { type?: string, outcome?: string }
  const retryAfter = answered['retry-after']
  return { status: statusCode, type, outcome, retryAfter: retryAfter === undefined ? undefined : Number(retryAfter) }
}

/** Workers refuse; from the first refusal on, the store takes its time. */
function setSlowOnceRefused (slowSpanMs: number): void {
  entry.platform.fleet.setFaults({ requestFaults: { [RequestFault.Refuse]: 1 } })
  entry.platform.fleet.onDidExecute(({ kind }) => {
    if (kind !== ExecutionKind.Refused) return
    entry.platform.store.setFault({ slowSpanMs })
    entry.platform.store.clearCallCounts()
  })
}

function clearFaults (): void {
  entry.platform.fleet.clearFaults()
  entry.platform.store.clearFaults()
}

/** Whether the store knows that a request did not run. */
function isReleased (): boolean {
  return entry.platform.store.saveState().keys.keys.some(({ key, value }) => Buffer.from(key).includes('/dedup/') && Buffer.from(value).includes('"not-run"'))
}

// A parent pays, every worker refuses, and the phone is told `not-run`. It sends
// the payment again at once, to another entry VM. There the key still stood as
// running, because its release was written after the answer had left: the phone
// was told `unknown` of a payment that had never run, and gave up.
it('lets a refused request run at once at another entry VM', async () => {
  await sendPayment(entry.daemon, 'warm', 'warm')
  setSlowOnceRefused(STORE_SPAN_MS)
  const refused = await sendPayment(entry.daemon, 'a', 'payment')
  // Once the release is under way; calls that come later are fast.
  await entry.waitFor(() => entry.platform.store.getCallCounts().byKind[CallKind.Transaction] > 0)
  clearFaults()
  const again = await sendPayment(another, 'b', 'payment')
  assert.deepEqual([refused.outcome, again.status, again.type], ['not-run', 200, undefined])
  assert.deepEqual(entry.listRuns(), ['warm', 'b'])
})

// The same while the store does not answer. The phone must not wait for it: it is
// told `not-run`, which is true, and to come back when the release can have been
// written; the daemon goes on writing it.
it('answers before a slow store, with a later Retry-After', async () => {
  await sendPayment(entry.daemon, 'warm', 'warm')
  setSlowOnceRefused(STORE_LATE_MS)
  const refused = await sendPayment(entry.daemon, 'a', 'payment')
  assert.ok(!isReleased(), 'the store was not slow')
  clearFaults()
  assert.deepEqual([refused.status, refused.outcome], [503, 'not-run'])
  assert.ok((refused.retryAfter ?? 0) >= LEAST_RETRY_AFTER, String(refused.retryAfter))
  await entry.waitFor(isReleased)
  const again = await sendPayment(another, 'b', 'payment')
  assert.equal(again.status, 200)
  assert.deepEqual(entry.listRuns(), ['warm', 'b'])
})
