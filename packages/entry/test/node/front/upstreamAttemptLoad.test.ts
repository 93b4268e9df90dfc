import assert from 'node:assert/strict'
import { Socket } from 'node:net'
import { describe, it } from 'node:test'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { DomainRoundTrips } from '@umberspar/steering/common/entry/placement/domainRoundTrips'
import type { UpstreamChoice } from '@umberspar/steering/common/entry/workers/chooseUpstream'
import { AccessOutcome } from '@umberspar/steering/common/entry/decideAccess'
import { EntryView } from '@umberspar/steering/common/entry/entryView'
import { UpstreamState } from '@umberspar/steering/common/entry/records'
import { WorkerLinks } from '@umberspar/steering/common/entry/workers/workerLinks'
import type { LoadReport } from '@umberspar/steering/common/entry/workers/workerLoad'
import type { BufferedRequest } from '../../../src/node/front/bufferedRequest.js'
import type { EntryContext } from '../../../src/node/front/entryContext.js'
import { OpenAttempts } from '../../../src/node/front/openAttempts.js'
import type { ResponseCollector } from '../../../src/node/front/responseCollector.js'
import { ResponseMemory } from '../../../src/node/front/responseMemory.js'
import { UpstreamAttempt } from '../../../src/node/front/upstreamAttempt.js'
import { UpstreamConnection } from '../../../src/node/upstream/upstreamConnection.js'
import type { OpenListener } from '../../../src/node/upstream/upstreamPool.js'

const REGIONS = new Map([['north-1', 'north']])
const REPORT: LoadReport = { running: 3, waiting: 2, slots: 4, pace: 1.5 }
const REFUSED_STATUS = 503

/** Sends one request, whose response is a refusal with the given load field, through an attempt. */
function runAttempt (loadText: string | undefined, parsed: LoadReport | undefined, isExchanging: boolean): { inFlight: number, pace: number, published: LoadReport[] } {
  const clock = new ManualClock(1)
  const roundTrips = new DomainRoundTrips('north-1', REGIONS)
  const view = new EntryView({ mayShare: () => true, node: 'vm-1', domain: 'north-1', regionByDomain: REGIONS, roundTrips, coldTolerance: { factor: 1, slack: 0 }, rateTolerance: { factor: 1, slack: 0 }, retryBudget: { ratio: 0.2, windowMs: 1_000, slack: 1 }, startedAt: 0 })
  view.putUpstream({ id: 'w-1', service: 'archive', address: '127.0.0.1:1', domain: 'north-1', slots: 4, state: UpstreamState.Ready, coldMs: 0 }, 0)
  const published: LoadReport[] = []
  let finishOpening: OpenListener | undefined
  const context = {
    clock,
    view,
    roundTrips,
    pools: { getPool: () => ({ open: (_maxConnections: number, _deadline: number, onOpen: OpenListener) => { finishOpening = onOpen } }) },
    accessController: { decide: () => ({ outcome: AccessOutcome.Allowed }) },
    eventLoop: { runWhenCurrent: (callback: () => void) => { callback() }, isLate: () => false },
    links: new WorkerLinks(() => 1, () => {}),
    openAttempts: new OpenAttempts(),
    responseMemory: new ResponseMemory(Number.POSITIVE_INFINITY),
    telemetry: { logAttemptEnd: () => {} },
    quarantine: { getNextRound: () => 1 },
    headerRewriter: { formatRequestHead: () => '' },
    protocol: { headers: { load: 'x-load', rateLimit: [], notRun: 'x-not-run', seal: 'x-seal' }, parseLoad: (text: string) => text === loadText ? parsed : undefined },
    workerLoads: isExchanging ? { publish: (_tracker: unknown, report: LoadReport) => { published.push(report) } } : undefined
  } as unknown as EntryContext
  const tracker = view.findUpstream('w-1')!
  const choice = { candidate: { tracker, roundTripMs: 1 }, expectedMs: 10 } as unknown as UpstreamChoice
  const request = { route: {}, message: {}, body: { length: 0, chunks: [] }, digest: {} } as unknown as BufferedRequest
  new UpstreamAttempt(context, request, choice, 'archive', undefined, 1_000, { mayStillSend: () => true, onSent: () => {}, onStreamStart: () => false, onStreamData: () => {}, onEnd: () => {} }).start()
  const connection = new UpstreamConnection(new Socket(), { idHeader: 'x-id' }, clock, () => {}, () => {}, () => {})
  let collector: ResponseCollector | undefined
  connection.send = (_request, listener) => { collector = listener as ResponseCollector }
  finishOpening!(connection, 1)
  collector!.onHead({ status: REFUSED_STATUS, rawHeaders: ['X-Not-Run', '1', ...(loadText === undefined ? [] : ['X-Load', loadText])] } as unknown as Parameters<ResponseCollector['onHead']>[0])
  collector!.onEnd()
  return { inFlight: tracker.countInFlight(clock.now()), pace: tracker.load.getPace(clock.now()), published }
}

describe('the load that a response reports', () => {
  it('is recorded with its pace and passed on to other VMs', () => {
    assert.deepEqual(runAttempt('3,2,4,150', REPORT, true), { inFlight: 5, pace: 1.5, published: [REPORT] })
  })

  it('is recorded where VMs exchange nothing', () => {
    assert.deepEqual(runAttempt('3,2,4,150', REPORT, false), { inFlight: 5, pace: 1.5, published: [] })
  })

  it('is ignored if it is missing or malformed', () => {
    for (const text of [undefined, 'x']) assert.deepEqual(runAttempt(text, undefined, true), { inFlight: 0, pace: 1, published: [] })
  })
})
