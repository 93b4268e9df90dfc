/** The order of a stop, its deadlines, and what ends it early. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { Instant } from '@umberspar/base/common/clock'
import { type ILogger, type LogContext, LogLevel, NULL_LOGGER } from '@umberspar/base/common/logger'
import { DaemonStop, StopStepName, type StopTarget } from '../../../src/node/stop/daemonStop.js'
import { LookupLifetime } from '../../../src/node/stop/lookupLifetime.js'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { StopSequence, StopStepEnd } from '../../../src/node/stop/stopSequence.js'

const CACHE_MS = 2000
const MICROTASK_TURNS = 20

/** A clock that jumps from timer to timer once all else has settled. */
class JumpingClock extends ManualClock {
  async runWhile (isRunning: () => boolean, until: Instant): Promise<void> {
    for (;;) {
      for (let turn = 0; turn < MICROTASK_TURNS; turn++) await Promise.resolve()
      const next = this.getNextTimer()
      if (!isRunning() || next === undefined || next > until) return
      this.stepTo(next)
    }
  }
}

class Recorder implements ILogger {
  readonly lines: string[] = []

  log (_level: LogLevel, { step, end }: LogContext): void {
    if (end !== undefined) this.lines.push(`${step} ${String(end)}`)
  }

  createChild (): ILogger {
    return this
  }
}

interface Scene {
  readonly clock: JumpingClock
  readonly logger: Recorder
  readonly stop: DaemonStop
  readonly steps: string[]
  open: number
  peersHear: boolean
}

function buildScene (): Scene {
  const clock = new JumpingClock()
  const logger = new Recorder()
  const steps: string[] = []
  const addStep = (name: string): void => { if (steps.at(-1) !== name) steps.push(name) }
  const target: StopTarget = {
    startLeaving: () => addStep('leaving'),
    publishState: async () => {
      addStep('told')
      return scene.peersHear
    },
    getSpreadSpanMs: () => 0,
    stopListening: () => addStep(`closed at ${clock.now()}`),
    countOpenRequests: () => scene.open,
    countConnections: async () => scene.open
  }
  const lifetime = new LookupLifetime()
  lifetime.update(CACHE_MS, 0)
  const scene: Scene = { clock, logger, steps, open: 1, peersHear: true, stop: new DaemonStop(target, lifetime, clock, logger) }
  scene.stop.addHandOver({ name: 'lend-parts', getDeadline: () => clock.now() + 100, run: async () => addStep('lent') })
  return scene
}

const ALL = [StopStepName.Announce, 'lend-parts', StopStepName.ServeCachedLookups, StopStepName.StopListening, StopStepName.FinishOpenRequests, StopStepName.CloseConnections]

describe('DaemonStop', () => {
  it('leaves look-ups, hands over, serves cached ones out, finishes what is open, then closes', async () => {
    const scene = buildScene()
    const stopped = scene.stop.run()
    let isDone = false
    stopped.then(() => { isDone = true }, () => {})
    await scene.clock.runWhile(() => !isDone, 60_000)
    assert.equal(isDone, false, 'closed over an open request')
    assert.deepEqual(scene.steps.slice(0, 3), ['leaving', 'told', 'lent'])
    assert.ok(Number(scene.steps[3]?.split(' ')[2]) >= CACHE_MS)
    scene.open = 0
    await scene.clock.runWhile(() => !isDone, 120_000)
    assert.deepEqual(await stopped, { cutRequests: 0 })
    assert.deepEqual(scene.logger.lines, ALL.map((name) => `${name} done`))
  })

  // An operator is in haste and sends a second SIGTERM while uploads still run. The
  // daemon must end, and must say that it cut something off.
  it('ends at once when forced, and tells what it cut', async () => {
    const scene = buildScene()
    scene.peersHear = false
    const stopped = scene.stop.run()
    await scene.clock.runWhile(() => true, 1000)
    scene.stop.stopWaiting()
    assert.deepEqual(await stopped, { cutRequests: 1 })
    assert.deepEqual(scene.logger.lines, ALL.map((name) => `${name} forced`))
  })

  // A peer's VM has died: it can't be told. It names nobody to callers either, so
  // the stop must not wait for it for ever.
  it('goes on without peers that cannot be told', async () => {
    const scene = buildScene()
    scene.peersHear = false
    scene.open = 0
    let isDone = false
    const stopped = scene.stop.run().finally(() => { isDone = true })
    await scene.clock.runWhile(() => !isDone, 60_000)
    assert.deepEqual(await stopped, { cutRequests: 0 })
    assert.equal(scene.logger.lines[0], `${StopStepName.Announce} ${StopStepEnd.DeadlinePassed}`)
    assert.equal(scene.logger.lines.at(-1), `${StopStepName.CloseConnections} done`)
  })
})

describe('StopSequence', () => {
  // A hand-over step fails, another hangs. Neither may keep the VM from being replaced.
  it('goes on after a step that fails or hangs', async () => {
    const clock = new JumpingClock()
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
  // entry VM. Callers still hold answers given before: closed after a second, the
  // entry VM would cut them off.
  it('remembers answers that were given under a longer lifetime', () => {
    const lifetime = new LookupLifetime()
    lifetime.update(60_000, 0)
    lifetime.update(1000, 10_000)
    assert.equal(lifetime.getEnd(20_000), 70_000)
    assert.equal(lifetime.getEnd(80_000), 81_000)
  })
})
