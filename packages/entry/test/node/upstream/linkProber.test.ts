import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { SeededRandom } from '@umberspar/base/common/random'
import { DomainRoundTrips } from '@umberspar/steering/common/entry/placement/domainRoundTrips'
import { EntryView } from '@umberspar/steering/common/entry/entryView'
import { type UpstreamRegistration, UpstreamState } from '@umberspar/steering/common/entry/records'
import { WorkerLinks } from '@umberspar/steering/common/entry/workers/workerLinks'
import { LinkProber, type LinkProberOptions } from '../../../src/node/upstream/linkProber.js'
import { OpenFailure, type ProbeListener } from '../../../src/node/upstream/upstreamPool.js'

const SEED = 580_002
const REGIONS = new Map([['north-1', 'north']])
const WORKERS = 24
const CRASHED = 12

describe('LinkProber', () => {
  let clock: ManualClock
  let links: WorkerLinks
  let prober: LinkProber
  let probed: string[]
  let isListening: (worker: string) => boolean
  let hasOpen: (worker: string) => boolean
  let disconnections: number

  beforeEach(() => {
    clock = new ManualClock(10_000)
    probed = []
    disconnections = 0
    const roundTrips = new DomainRoundTrips('north-1', REGIONS)
    const view = new EntryView({ mayShare: () => true, node: 'vm-1', domain: 'north-1', regionByDomain: REGIONS, roundTrips, coldTolerance: { factor: 1, slack: 0 }, rateTolerance: { factor: 1, slack: 0 }, retryBudget: { ratio: 0.2, windowMs: 1_000, slack: 1 }, startedAt: 0 })
    for (let index = 0; index < WORKERS; index++) {
      view.putUpstream({ id: `w-${index}`, service: 'archive', address: `127.0.0.1:${index + 1}`, domain: 'north-1', slots: 4, state: UpstreamState.Ready, coldMs: 0 }, clock.now())
    }
    links = new WorkerLinks(() => WORKERS, () => { if (links.isDisconnected('archive')) disconnections++ }, (service, workers) => { prober.checkWorkers(service, workers) })
    const pools = {
      getPool: ({ id }: UpstreamRegistration) => ({
        probe: (_deadline: number, onResult: ProbeListener) => {
          probed.push(id)
          clock.schedule(clock.now() + 1, () => { onResult(isListening(id), isListening(id) ? undefined : OpenFailure.Refused) })
        }
      }),
      hasOpen: (id: string) => hasOpen(id),
      closeSilent: () => {}
    }
    prober = new LinkProber({ clock, random: new SeededRandom(SEED), view, links, pools, roundTrips, eventLoop: { isLate: () => false } } as unknown as LinkProberOptions)
    hasOpen = (worker) => isListening(worker)
  })

  function isRunning (worker: string): boolean {
    return Number(worker.slice(2)) >= CRASHED
  }

  function refuse (workers: readonly string[]): void {
    for (const worker of workers) links.recordOpenFailure('archive', worker, clock.now() - 1, clock.now(), true)
  }

  // Guards against VMs that take the crash of half of the workers for the loss of all links.
  it('finds a worker with an open connection that is running, whichever was in contact last', () => {
    isListening = isRunning
    for (let index = WORKERS - 1; index >= 0; index--) links.recordOpened('archive', `w-${index}`, clock.now())
    refuse(['w-0', 'w-1', 'w-2'])
    assert.equal(probed.length, 3)
    assert.ok(probed.every(isRunning))
    clock.stepBy(10)
    refuse(['w-3', 'w-4'])
    clock.stepBy(10)
    assert.equal(disconnections, 0)
  })

  it('confirms within a round trip that links are lost if no worker accepts connections', () => {
    isListening = () => false
    hasOpen = () => true
    for (let index = 0; index < WORKERS; index++) links.recordResponse('archive', clock.now(), `w-${index}`)
    refuse(['w-0', 'w-1', 'w-2'])
    assert.equal(disconnections, 0)
    clock.stepBy(1)
    assert.equal(disconnections, 1)
  })

  // Guards against a service that stays disconnected because crashed workers are probed again and again.
  it('finds two running workers among crashed ones within a few rounds', () => {
    isListening = isRunning
    prober.start()
    refuse(['w-0', 'w-1', 'w-2'])
    assert.equal(links.isDisconnected('archive'), true)
    clock.stepBy(500 * (CRASHED / 2 + 2))
    assert.equal(links.isDisconnected('archive'), false)
    prober.close()
  })

  it('opens no connections once it is closed', () => {
    prober.close()
    prober.checkWorkers('archive', ['w-1'])
    assert.deepEqual(probed, [])
  })
})
