/** The faults of a run with workers that announce rate limits, one runner per kind; a runner returns when the fault may begin again. */
import type { IClock } from '@umberspar/base/common/clock'
import type { IRandomSource } from '@umberspar/base/common/random'
import { waitForCondition } from '@umberspar/testing/node/load/polling'
import type { PlatformWorkerStandIn } from '@umberspar/testing/node/standIns/usersPlatform/platformWorkerStandIn'
import { type RecordStoreListener, StoreFault } from '@umberspar/testing/node/standIns/usersPlatform/recordStoreStandIn'
import { waitFor } from '@umberspar/testing/node/waiting'
import type { LoggedEntry } from '../loggedEntry.js'
import { LimitsFault } from './limitsOptions.js'

const START_TIMEOUT_MS = 60_000
const POLL_INTERVAL_MS = 100
const SILENCE_MS = 8_000
const SILENCE_GAP_MS = 3_000
const RESTART_DELAY_MS = 100
const ALL_KILLED_MS = 1_200
const ALL_KILLED_GAP_MS = 3_000
const POWER_LOSS_MS = 7_000
const POWER_LOSS_GAP_MS = 5_000
const PAUSE_MS = 2_500
const WORKERS_AWAY_MS = 6_000
const WORKERS_AWAY_GAP_MS = 4_000
const LIMIT_CHANGE_GAP_MS = 2_500
const LIMIT_CHANGE_RATIOS = [0.4, 1.6, 1]
const GROWTH_GAP_MS = 4_000

/** The objects that faults act on. */
export interface LimitsEnvironment {
  readonly clock: IClock
  readonly random: IRandomSource
  readonly entries: readonly LoggedEntry[]
  readonly stores: readonly RecordStoreListener[]
  readonly workers: readonly PlatformWorkerStandIn[]
  /** The limit of each limited worker, in requests per second. */
  readonly limitPerSecond: number
  setLimit(worker: PlatformWorkerStandIn, perSecond: number): void
  registerWorker(worker: PlatformWorkerStandIn): void
  /** Removes a worker's registration; the worker goes on. */
  removeWorker(worker: PlatformWorkerStandIn): void
  /** Starts another VM. */
  addEntry(): Promise<void>
}

function chooseHalf<T> (random: IRandomSource, list: readonly T[]): T[] {
  const shuffled = list.map((item) => ({ item, order: random.next() })).sort((left, right) => left.order - right.order)
  return shuffled.slice(0, Math.ceil(list.length / 2)).map(({ item }) => item)
}

/** Disrupts one VM after the other, each after the one before it is ready again. */
async function callForEach ({ clock, entries }: LimitsEnvironment, disrupt: (entry: LoggedEntry) => Promise<void>): Promise<void> {
  for (const entry of [...entries]) {
    await disrupt(entry)
    await waitForCondition(clock, clock.now() + START_TIMEOUT_MS, POLL_INTERVAL_MS, async () => await entry.isReady())
  }
}

async function startAgain (clock: IClock, entry: LoggedEntry, downMs: number): Promise<void> {
  await entry.runExclusively(async () => {
    await entry.stopAtOnce()
    await waitFor(clock, downMs)
    entry.start()
  })
}

const RUNNERS: Readonly<Record<LimitsFault, (environment: LimitsEnvironment) => Promise<void>>> = {
  [LimitsFault.SilentStore]: async ({ clock, random, stores }) => {
    const silent = chooseHalf(random, stores)
    for (const store of silent) store.setFault(StoreFault.Silent)
    await waitFor(clock, SILENCE_MS)
    for (const store of silent) store.setFault(StoreFault.None)
    await waitFor(clock, SILENCE_GAP_MS)
  },
  [LimitsFault.Kill]: async (environment) => {
    await callForEach(environment, async (entry) => { await startAgain(environment.clock, entry, RESTART_DELAY_MS) })
  },
  [LimitsFault.KillAll]: async ({ clock, entries }) => {
    await Promise.all(entries.map(async (entry) => { await startAgain(clock, entry, ALL_KILLED_MS) }))
    await waitFor(clock, ALL_KILLED_GAP_MS)
  },
  [LimitsFault.PowerLoss]: async ({ clock, random, entries }) => {
    await Promise.all(chooseHalf(random, entries).map(async (entry) => { await startAgain(clock, entry, POWER_LOSS_MS) }))
    await waitFor(clock, POWER_LOSS_GAP_MS)
  },
  [LimitsFault.RollingRestart]: async (environment) => {
    await callForEach(environment, async (entry) => {
      await entry.runExclusively(async (program) => {
        entry.expectExit()
        await program.stop()
        entry.start()
      })
    })
  },
  [LimitsFault.Pause]: async (environment) => {
    await callForEach(environment, async (entry) => {
      await entry.runExclusively(async (program) => {
        program.hold()
        await waitFor(environment.clock, PAUSE_MS)
        program.release()
      })
    })
  },
  [LimitsFault.WorkersAway]: async ({ clock, workers, removeWorker, registerWorker }) => {
    const away = workers.filter(({ rateLimit }) => rateLimit === undefined)
    for (const worker of away) removeWorker(worker)
    await waitFor(clock, WORKERS_AWAY_MS)
    for (const worker of away) registerWorker(worker)
    await waitFor(clock, WORKERS_AWAY_GAP_MS)
  },
  [LimitsFault.LimitChanges]: async ({ clock, workers, limitPerSecond, setLimit }) => {
    for (const ratio of LIMIT_CHANGE_RATIOS) {
      for (const worker of workers) if (worker.rateLimit !== undefined) setLimit(worker, limitPerSecond * ratio)
      await waitFor(clock, LIMIT_CHANGE_GAP_MS)
    }
  },
  [LimitsFault.Growth]: async ({ clock, addEntry }) => {
    await addEntry()
    await waitFor(clock, GROWTH_GAP_MS)
  }
}

/**
 * Runs a fault once.
 * @param environment the objects that it acts on
 * @param fault the fault
 */
export async function runLimitsFault (environment: LimitsEnvironment, fault: LimitsFault): Promise<void> {
  await RUNNERS[fault](environment)
}
