import assert from 'node:assert/strict'
import { Socket } from 'node:net'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { DomainRoundTrips } from '@umberspar/steering/common/entry/placement/domainRoundTrips'
import type { UpstreamChoice } from '@umberspar/steering/common/entry/workers/chooseUpstream'
import { AccessOutcome } from '@umberspar/steering/common/entry/decideAccess'
import { EntryView } from '@umberspar/steering/common/entry/entryView'
import { type UpstreamRegistration, UpstreamState } from '@umberspar/steering/common/entry/records'
import { WorkerLinks } from '@umberspar/steering/common/entry/workers/workerLinks'
import type { BufferedRequest } from '../../../src/node/front/bufferedRequest.js'
import type { EntryContext } from '../../../src/node/front/entryContext.js'
import type { AttemptResult } from '../../../src/node/front/attempt.js'
import { OpenAttempts } from '../../../src/node/front/openAttempts.js'
import { UpstreamAttempt } from '../../../src/node/front/upstreamAttempt.js'
import { AttemptOutcome } from '../../../src/node/telemetry/requestOutcomes.js'
import { UpstreamConnection } from '../../../src/node/upstream/upstreamConnection.js'
import { OpenFailure, type OpenListener } from '../../../src/node/upstream/upstreamPool.js'

const REGIONS = new Map([['north-1', 'north']])
const WORKER: UpstreamRegistration = { id: 'w-1', service: 'archive', address: '127.0.0.1:1', domain: 'north-1', slots: 4, state: UpstreamState.Ready, coldMs: 0 }

describe('an attempt whose connection is being opened', () => {
  let clock: ManualClock
  let view: EntryView
  let finishOpening: OpenListener
  let results: AttemptResult[]
  let sent: number
  let links: WorkerLinks
  let isLate: boolean
  let startAttempt: (limitMs: number) => void

  beforeEach(() => {
    clock = new ManualClock()
    const roundTrips = new DomainRoundTrips('north-1', REGIONS)
    view = new EntryView({ mayShare: () => true, node: 'vm-1', domain: 'north-1', regionByDomain: REGIONS, roundTrips, coldTolerance: { factor: 1, slack: 0 }, rateTolerance: { factor: 1, slack: 0 }, retryBudget: { ratio: 0.2, windowMs: 1_000, slack: 1 }, startedAt: 0 })
    view.putUpstream(WORKER, clock.now())
    isLate = false
    links = new WorkerLinks(() => 1, () => {})
    const context = {
      clock,
      view,
      roundTrips,
      pools: { getPool: () => ({ open: (_maxConnections: number, _deadline: number, onOpen: OpenListener) => { finishOpening = onOpen } }) },
      accessController: { decide: () => ({ outcome: AccessOutcome.Allowed }) },
      eventLoop: { runWhenCurrent: (callback: () => void) => { callback() }, isLate: () => isLate },
      links,
      openAttempts: new OpenAttempts(),
      quarantine: { getNextRound: () => 1 },
      telemetry: { logAttemptEnd: () => {} }
    } as unknown as EntryContext
    results = []
    sent = 0
    const [tracker] = view.listTrackers()
    const choice = { candidate: { tracker, roundTripMs: 1 }, expectedMs: 10 } as unknown as UpstreamChoice
    startAttempt = (limitMs) => new UpstreamAttempt(context, { route: {} } as unknown as BufferedRequest, choice, 'archive', undefined, clock.now() + limitMs, {
      mayStillSend: () => true,
      onSent: () => { sent++ },
      onStreamStart: () => false,
      onStreamData: () => {},
      onEnd: (result) => { results.push(result) }
    }).start()
    startAttempt(1_000)
  })

  function open (): void {
    finishOpening(new UpstreamConnection(new Socket(), { idHeader: 'x-id' }, clock, () => {}, () => {}, () => {}), 1)
  }

  // Guards against a request that is sent after the worker announced its shutdown to another request.
  it('is withdrawn if the worker announces its shutdown meanwhile', () => {
    view.recordDrain(WORKER)
    open()
    assert.deepEqual(results.map(({ outcome }) => outcome), [AttemptOutcome.Withdrawn])
    assert.equal(sent, 0)
  })

  // Guards against a request that is sent after the worker asked for a pause in its response to another request.
  it('is withdrawn if the worker asks for a pause meanwhile', () => {
    view.recordCoolDown(WORKER, clock.now() + 1_000, clock.now())
    open()
    assert.deepEqual(results.map(({ outcome }) => outcome), [AttemptOutcome.Withdrawn])
    assert.equal(sent, 0)
  })

  // Guards against a VM that takes its workers for unreachable because its callers' deadlines were near, or because it could not read.
  it('says that the worker can\'t be reached only if it was given time to answer', () => {
    startAttempt(100)
    finishOpening(OpenFailure.TimedOut, 100)
    assert.equal(links.isDisconnected('archive'), false)
  })

  it('says nothing about the worker if the event loop is late', () => {
    isLate = true
    finishOpening(OpenFailure.TimedOut, 300)
    assert.equal(links.isDisconnected('archive'), false)
  })

  it('says that the worker can\'t be reached if it does not answer in time', () => {
    finishOpening(OpenFailure.TimedOut, 300)
    assert.equal(links.isDisconnected('archive'), true)
  })

  it('says that the worker can\'t be reached if it refuses', () => {
    finishOpening(OpenFailure.Refused, 1)
    assert.equal(links.isDisconnected('archive'), true)
  })
})
