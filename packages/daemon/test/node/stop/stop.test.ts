/** Tests the order of a shutdown, its deadlines, and how it can be forced. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { Instant } from '@umberspar/base/common/clock'
import { type ILogger, type LogContext, LogLevel, NULL_LOGGER } from '@umberspar/base/common/logger'
import { DaemonStop, StopStepName, type StopTarget } from '../../../src/node/stop/daemonStop.js'
import { LookupLifetime } from '../../../src/node/stop/lookupLifetime.js'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { StopSequence, StopStepEnd } from '../../../src/node/stop/stopSequence.js'

const LOOKUP_CACHE_MS = 2000
const MICROTASKS_PER_TIMER = 20

/** A clock that advances to the next timer once all pending microtasks have run. */
class AutoAdvancingClock extends ManualClock {
  async runWhile (isRunning: () => boolean, until: Instant): Promise<void> {
    for (;;) {
      for (let turn = 0; turn < MICROTASKS_PER_TIMER; turn++) await Promise.resolve()
      const next = this.getNextDueTime()
      if (!isRunning() || next === undefined || next > until) return
      this.stepTo(next)
    }
  }
}

class RecordingLogger implements ILogger {
  readonly lines: string[] = []

  log (_level: LogLevel, { step, end }: LogContext): void {
    if (end !== undefined) this.lines.push(`${step} ${String(end)}`)
  }

  createChild (): ILogger {
    return this
  }
}

interface TestSetup {
  readonly clock: AutoAdvancingClock
  readonly logger: RecordingLogger
  readonly stop: DaemonStop
  readonly steps: string[]
  open: number
  arePeersReachable: boolean
}

function createSetup (): TestSetup {
  const clock = new AutoAdvancingClock()
  const logger = new RecordingLogger()
  const steps: string[] = []
  const addStep = (name: string): void => { if (steps.at(-1) !== name) steps.push(name) }
  const target: StopTarget = {
    startLeaving: () => addStep('leaving'),
    publishState: async () => {
      addStep('told')
      return setup.arePeersReachable
    },
    getPropagationTimeMs: () => 0,
    stopListening: () => addStep(`closed at ${clock.now()}`),
    countOpenRequests: () => setup.open,
    countConnections: async () => setup.open
  }
  const lifetime = new LookupLifetime()
  lifetime.update(LOOKUP_CACHE_MS, 0)
  const setup: TestSetup = { clock, logger, steps, open: 1, arePeersReachable: true, stop: new DaemonStop(target, lifetime, clock, logger) }
  setup.stop.addHandOver({ name: 'lend-parts', getDeadline: () => clock.now() + 100, run: async () => addStep('lent') })
  return setup
}

const ALL_STEPS = [StopStepName.Announce, 'lend-parts', StopStepName.ServeCachedLookups, StopStepName.StopListening, StopStepName.FinishOpenRequests, StopStepName.CloseConnections]

describe('DaemonStop', () => {
  it('leaves look-ups, hands over, serves until cached look-ups expire, finishes open requests, then closes', async () => {
    const setup = createSetup()
    const stopped = setup.stop.run()
    let isDone = false
    stopped.then(() => { isDone = true }, () => {})
    await setup.clock.runWhile(() => !isDone, 60_000)
    assert.equal(isDone, false, 'closed despite an open request')
    assert.deepEqual(setup.steps.slice(0, 3), ['leaving', 'told', 'lent'])
    assert.ok(Number(setup.steps[3]?.split(' ')[2]) >= LOOKUP_CACHE_MS)
    setup.open = 0
    await setup.clock.runWhile(() => !isDone, 120_000)
    assert.deepEqual(await stopped, { cutRequests: 0 })
    assert.deepEqual(setup.logger.lines, ALL_STEPS.map((name) => `${name} done`))
  })

  // An operator sends a second SIGTERM while uploads are still running. The daemon must
  // stop, and must report that it aborted requests.
  it('ends at once when forced, and reports the aborted requests', async () => {
    const setup = createSetup()
    setup.arePeersReachable = false
    const stopped = setup.stop.run()
    await setup.clock.runWhile(() => true, 1000)
    setup.stop.stopWaiting()
    assert.deepEqual(await stopped, { cutRequests: 1 })
    assert.deepEqual(setup.logger.lines, ALL_STEPS.map((name) => `${name} forced`))
  })

  // A peer's VM has crashed and can't be told. It doesn't answer look-ups either, so
  // the shutdown must not wait for it forever.
  it('continues without peers that cannot be told', async () => {
    const setup = createSetup()
    setup.arePeersReachable = false
    setup.open = 0
    let isDone = false
    const stopped = setup.stop.run().finally(() => { isDone = true })
    await setup.clock.runWhile(() => !isDone, 60_000)
    assert.deepEqual(await stopped, { cutRequests: 0 })
    assert.equal(setup.logger.lines[0], `${StopStepName.Announce} ${StopStepEnd.DeadlinePassed}`)
    assert.equal(setup.logger.lines.at(-1), `${StopStepName.CloseConnections} done`)
  })
})

describe('StopSequence', () => {
  // One hand-over step fails, another hangs. Neither may prevent the VM from being replaced.
  it('continues after a step that fails or hangs', async () => {
    const clock = new AutoAdvancingClock()
    const step = (name: string, run: () => Promise<void>): Parameters<StopSequence['run']>[0][number] => ({ name, getDeadline: () => clock.now() + 50, run })
    const running = new StopSequence(clock, NULL_LOGGER).run([
      step('fails', () => Promise.reject(new Error('no'))),
      step('hangs', () => new Promise(() => {})),
      step('works', async () => {})
    ])
    await clock.runWhile(() => true, 1000)
    assert.deepEqual((await running).map(({ end }) => end), [StopStepEnd.Failed, StopStepEnd.DeadlinePassed, StopStepEnd.Done])
  })
})

describe('LookupLifetime', () => {
  // Operators shorten the look-ups' lifetime from a minute to a second, then stop an
  // entry VM. Callers still have look-ups cached from before. If the entry VM closed
  // after a second, their requests would fail.
  it('accounts for look-ups that were returned under a longer lifetime', () => {
    const lifetime = new LookupLifetime()
    lifetime.update(60_000, 0)
    lifetime.update(1000, 10_000)
    assert.equal(lifetime.getExpiry(20_000), 70_000)
    assert.equal(lifetime.getExpiry(80_000), 81_000)
  })
})
