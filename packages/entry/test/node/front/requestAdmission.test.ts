import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { SeededRandom } from '@umberspar/base/common/random'
import { FleetUsage } from '@umberspar/steering/common/entry/admission/fleetUsage'
import { ServiceGates } from '@umberspar/steering/common/entry/admission/serviceGates'
import type { UpstreamChoice } from '@umberspar/steering/common/entry/workers/chooseUpstream'
import type { BufferedRequest } from '../../../src/node/front/bufferedRequest.js'
import type { EntryContext } from '../../../src/node/front/entryContext.js'
import { getRefusal } from '../../../src/node/front/refusals.js'
import { RequestAdmission } from '../../../src/node/front/requestAdmission.js'
import { EntryMetrics } from '../../../src/node/telemetry/entryMetrics.js'
import { EntryTelemetry } from '../../../src/node/telemetry/entryTelemetry.js'
import { EndReason, RequestOutcome } from '../../../src/node/telemetry/requestOutcomes.js'

const NO_GAUGES = { readGauges: () => ({}), readRetryBudgets: () => [] }
const CHOICE = { onTimeProbabilityOnHit: 0 } as unknown as UpstreamChoice
const STEP_MS = 20

describe('the admission of a request by its rank', () => {
  let clock: ManualClock
  let saturation: number
  let hasEnoughSamples: boolean
  let context: EntryContext
  let metrics: EntryMetrics
  let lines: Array<Readonly<Record<string, unknown>>>

  beforeEach(() => {
    clock = new ManualClock()
    saturation = 1
    hasEnoughSamples = true
    lines = []
    metrics = new EntryMetrics()
    const accounts: Readonly<Record<string, unknown>> = { 'digest-1': { name: 'urgent-account', priority: 0 }, 'digest-2': { name: 'usual-account' } }
    context = {
      clock,
      view: { getPool: () => ({ getSaturation: () => saturation }), getServiceTimes: () => ({ hasEnoughSamples }) },
      accessController: { decide: (_: unknown, digest: string) => ({ account: accounts[digest] }) },
      gates: new ServiceGates(new FleetUsage(undefined, 'north-1'), new SeededRandom(1)),
      telemetry: new EntryTelemetry({ log: (_: unknown, fields: Readonly<Record<string, unknown>>) => { lines.push(fields) } } as never, metrics)
    } as unknown as EntryContext
  })

  function createAdmission (priority: number, keyDigest?: string): RequestAdmission {
    return new RequestAdmission(context, { requestId: '9c41', route: { name: 'route', priority }, keyDigest } as unknown as BufferedRequest, 'desk')
  }

  /** @returns how many of the requests of each kind were refused */
  function countRefusals (kinds: ReadonlyArray<readonly [priority: number, keyDigest?: string]>): number[] {
    const refusals = kinds.map(() => 0)
    for (let round = 0; round < 200; round++) {
      clock.stepBy(STEP_MS)
      for (const [index, [priority, keyDigest]] of kinds.entries()) if (createAdmission(priority, keyDigest).findRefusal(CHOICE, 0, clock.now()) !== undefined) refusals[index]!++
    }
    return refusals
  }

  it('has routes of less urgent priority yield, and logs and counts why', async () => {
    const [urgent, other] = countRefusals([[1], [3]])
    assert.equal(urgent, 0)
    assert.ok(other! > 50)
    const { step, requestId, reason, priority, service } = lines.at(-1)!
    assert.deepEqual([step, requestId, reason, priority, service], ['yield-request', '9c41', EndReason.PriorityYielded, 3, 'desk'])
    assert.ok((await metrics.read(NO_GAUGES)).includes(`umberspar_yields_total{service="desk",reason="priority-yielded",priority="3"} ${other}`))
  })

  it('puts the priority of the account before that of the route', () => {
    const [ofAccount, ofRoute] = countRefusals([[9, 'digest-1'], [1, 'digest-2']])
    assert.equal(ofAccount, 0)
    assert.ok(ofRoute! > 50)
  })

  it('decides once per request, and not after it was sent', () => {
    countRefusals([[1], [3]])
    for (let index = 0; index < 50; index++) {
      assert.equal(createAdmission(3).findRefusal(CHOICE, 1, clock.now()), undefined)
      const admission = createAdmission(3)
      admission.findRefusal(CHOICE, 0, clock.now())
      assert.equal(admission.findRefusal(CHOICE, 0, clock.now()), undefined)
    }
  })

  it('has less urgent requests yield where more urgent ones find no room later', () => {
    const choice = { onTimeProbabilityOnHit: 0.6 } as unknown as UpstreamChoice
    let refusals = 0
    for (let round = 0; round < 200; round++) {
      clock.stepBy(STEP_MS)
      const urgent = createAdmission(1)
      urgent.findRefusal(choice, 0, clock.now())
      urgent.recordEnd(EndReason.DeadlineUnreachable)
      if (createAdmission(3).findRefusal(choice, 0, clock.now()) !== undefined) refusals++
    }
    assert.ok(refusals > 100)
  })

  it('refuses nobody while there is room, nor where one priority occurs', () => {
    assert.deepEqual(countRefusals([[3]]), [0])
    saturation = 0.8
    assert.deepEqual(countRefusals([[1], [3]]), [0, 0])
    assert.equal(lines.length, 0)
  })

  it('refuses nobody for an estimate that rests on too few answers', () => {
    // Guards against an initial estimate that refuses requests and is therefore never corrected.
    hasEnoughSamples = false
    assert.deepEqual(countRefusals([[1], [3]]), [0, 0])
  })

  it('tells callers that the request has not run', () => {
    for (const reason of [EndReason.PriorityYielded, EndReason.AccountOverShare]) {
      const { status, outcome, text } = getRefusal(reason)
      assert.deepEqual([status, outcome, text.startsWith('not run')], [503, RequestOutcome.Refused, true])
    }
  })

  it('lists the accounts over their share with bounded labels', async () => {
    const states = Array.from({ length: 100 }, (_, index) => ({ service: 'desk', priority: 1, account: `account-${index}`, use: 0.4, share: 0.1 }))
    const text = await metrics.read({ ...NO_GAUGES, readAccountShares: () => states })
    assert.equal(text.match(/^umberspar_account_use_ratio\{/gm)?.length, 32)
    assert.equal((await metrics.read(NO_GAUGES)).match(/^umberspar_account_use_ratio\{/gm), null)
  })
})
