/** Carries the steps of a plan out: one handler a kind. Each returns when its step is over. */
import type { IClock } from '@umberspar/base/common/clock'
import { LinkFault, type TcpRelay } from '@umberspar/testing/node/standIns/tcpRelay'
import { WorkerFault } from '@umberspar/testing/node/standIns/usersPlatform/platformWorkerStandIn'
import type { PathInput, PlatformRecords } from '@umberspar/testing/node/standIns/usersPlatform/platformRecords'
import { StoreFault } from '@umberspar/testing/node/standIns/usersPlatform/recordStoreStandIn'
import { waitFor } from '@umberspar/testing/node/waiting'
import { type SoakStep, SoakStepKind } from '../common/soakPlan.js'
import type { Calm } from './calm.js'
import type { SoakEntries, SoakEntry } from './soakEntries.js'
import type { SoakJudge } from './soakJudge.js'
import type { SoakWorker, SoakWorkers } from './soakWorkers.js'

/** What steps act on. */
export interface SoakStage {
  readonly clock: IClock
  readonly calm: Calm
  readonly judge: SoakJudge
  readonly records: PlatformRecords
  readonly entries: SoakEntries
  readonly workers: SoakWorkers
  readonly domains: readonly string[]
  readonly services: readonly string[]
  /** Routes that callers use; steps add others. */
  readonly paths: readonly PathInput[]
}

/** What a step did, for the table. */
export enum StepEnd {
  Done = 'done',
  /** Another step had the same target. */
  Passed = 'passed'
}

type StepHandler = (stage: SoakStage, step: SoakStep) => Promise<boolean>

const STORE_FAULTS = [StoreFault.Busy, StoreFault.TooMany, StoreFault.Reset, StoreFault.Silent, StoreFault.AnswerLost]
const LINK_FAULTS = [LinkFault.Delay, LinkFault.Reset, LinkFault.CutThere, LinkFault.CutBack, LinkFault.Silence]
const WORKER_FAULTS = Object.values(WorkerFault).filter((fault) => fault !== WorkerFault.None)
/** From a worker's announcement until it ends; it must serve for 2.5 s. */
const LEAVING_MS = 3_500
/** A crashed worker's registration lapses after this, and its address is used again no sooner, in milliseconds. */
const LAPSE_MS = 2_500
/** From this target on the store treats all entry VMs alike. */
const ALL_ENTRIES_FROM = 0.6
/** Otherwise the part of them that it treats badly. */
const ENTRY_PART = 0.4
/** How far the time of day jumps, either way, in milliseconds. */
const CLOCK_STEP_MS = 3_600_000
/** What another writer may leave in place of a registration. */
const FOREIGN_TEXTS = ['', 'not JSON', '[]', 'null', '{"Service":"archive"}', '{"Service":7,"Addr":"127.0.0.1:1","Zone":"north-1","Slots":-1,"State":"ready"}']
/** Names of added routes, so that most changes add one that was not there. */
const ADDED_NAMES = 1_000
/** From this target on a configuration is large: it comes and goes with the others, over connections whose buffers it fills. */
const LARGE_FROM = 0.7
const LARGE_ROUTES = 1_500
/** A service keeps at least so many workers. */
const LEAST_WORKERS = 2

function choose<T> (list: readonly T[], position: number): T | undefined {
  return list[Math.floor(position * list.length)]
}

/** A worker whose service can do without it. */
function chooseWorker ({ workers }: SoakStage, { target }: SoakStep): SoakWorker | undefined {
  const list = workers.list()
  return choose(list.filter(({ service }) => list.filter((other) => other.service === service).length > LEAST_WORKERS), target)
}

/** Runs what disturbs processes, so that promises to undisturbed ones are not judged meanwhile. */
async function runDisturbing (stage: SoakStage, act: () => Promise<boolean>): Promise<boolean> {
  stage.calm.start()
  try {
    return await act()
  } finally {
    stage.calm.end()
  }
}

function chooseEntry ({ entries }: SoakStage, { target }: SoakStep): SoakEntry {
  return choose(entries.list, target)!
}

function listLinks ({ entries, workers }: SoakStage): TcpRelay[] {
  return [...entries.list.flatMap(({ way, storeWay }) => [way, storeWay]), ...workers.list().map(({ way }) => way)]
}

const HANDLERS: Readonly<Record<SoakStepKind, StepHandler>> = {
  [SoakStepKind.EntryKill]: async (stage, step) => await runDisturbing(stage, async () => {
    const entry = chooseEntry(stage, step)
    return await entry.runAlone(async (program) => {
      entry.expectEnd()
      await program.stopAtOnce()
      await waitFor(stage.clock, step.spanMs)
      entry.start()
    })
  }),
  [SoakStepKind.EntryPause]: async (stage, step) => await runDisturbing(stage, async () => await chooseEntry(stage, step).runAlone(async (program) => {
    program.hold()
    await waitFor(stage.clock, step.spanMs)
    program.release()
  })),
  [SoakStepKind.EntryStop]: async (stage, step) => {
    const entry = chooseEntry(stage, step)
    return await entry.runAlone(async (program) => {
      const { callers } = entry.settings.listen
      entry.expectEnd()
      stage.judge.recordStopBegan(callers)
      await program.stop()
      stage.judge.recordStopEnded(callers)
      entry.start()
    })
  },
  [SoakStepKind.EntryHangUp]: async (stage, step) => {
    const entry = chooseEntry(stage, step)
    // Until Node.js itself has started, no program can take a signal.
    if (!await entry.isReady()) return false
    return await entry.runAlone(async () => { entry.updateSettings() })
  },
  [SoakStepKind.ClockStep]: async (stage, step) => {
    const entry = chooseEntry(stage, step)
    entry.setTimeShift(step.variant < 0.5 ? CLOCK_STEP_MS : -CLOCK_STEP_MS)
    await waitFor(stage.clock, step.spanMs)
    entry.setTimeShift(0)
    return true
  },
  [SoakStepKind.WorkerCrash]: async (stage, step) => await runDisturbing(stage, async () => {
    const gone = chooseWorker(stage, step)
    if (gone === undefined) return false
    stage.workers.end(gone)
    await waitFor(stage.clock, LAPSE_MS)
    stage.workers.removeRecord(gone)
    await stage.workers.add(gone.service, gone.domain, true)
    return true
  }),
  [SoakStepKind.WorkerDrain]: async (stage, step) => {
    const leaving = chooseWorker(stage, step)
    if (leaving === undefined) return false
    stage.workers.startLeaving(leaving)
    await stage.workers.add(leaving.service, leaving.domain, true)
    await waitFor(stage.clock, LEAVING_MS)
    stage.workers.removeRecord(leaving)
    stage.workers.end(leaving)
    return true
  },
  [SoakStepKind.WorkerReuse]: async (stage, step) => await runDisturbing(stage, async () => {
    const gone = chooseWorker(stage, step)
    if (gone === undefined) return false
    stage.workers.end(gone)
    await waitFor(stage.clock, LAPSE_MS)
    const others = stage.services.filter((service) => service !== gone.service)
    await stage.workers.putAtAddress(gone, choose(others, step.variant)!)
    // The old registration lapses only after the address has its new holder: meanwhile both stand in the store.
    await waitFor(stage.clock, step.spanMs)
    stage.workers.removeRecord(gone)
    await stage.workers.add(gone.service, gone.domain, true)
    return true
  }),
  [SoakStepKind.WorkerFault]: async (stage, step) => await runDisturbing(stage, async () => {
    const faulty = chooseWorker(stage, step)
    if (faulty === undefined) return false
    faulty.worker.fault = choose(WORKER_FAULTS, step.variant)!
    await waitFor(stage.clock, step.spanMs)
    faulty.worker.fault = WorkerFault.None
    return true
  }),
  [SoakStepKind.StoreFault]: async (stage, step) => await runDisturbing(stage, async () => {
    const { list } = stage.entries
    const from = Math.floor(step.target * list.length)
    const struck = step.target > ALL_ENTRIES_FROM ? list : [...list, ...list].slice(from, from + Math.ceil(list.length * ENTRY_PART))
    for (const { store } of struck) store.setFault(choose(STORE_FAULTS, step.variant)!)
    await waitFor(stage.clock, step.spanMs)
    for (const { store } of struck) store.setFault(StoreFault.None)
    return true
  }),
  [SoakStepKind.StoreCompact]: async (stage) => await runDisturbing(stage, async () => {
    for (const { store } of stage.entries.list) store.closeWatches()
    stage.records.store.state.clearHistory()
    return true
  }),
  [SoakStepKind.LinkFault]: async (stage, step) => await runDisturbing(stage, async () => {
    const link = choose(listLinks(stage), step.target)!
    link.setFault(choose(LINK_FAULTS, step.variant)!)
    await waitFor(stage.clock, step.spanMs)
    link.setFault(LinkFault.None)
    return true
  }),
  [SoakStepKind.ConfigurationChange]: async (stage, step) => {
    const name = `added-${Math.floor(step.variant * ADDED_NAMES)}`
    const length = step.target >= LARGE_FROM ? LARGE_ROUTES : 0
    const others = Array.from({ length }, (_, index) => ({ Name: `large-${index}`, Prefix: `/large/${index}/`, Service: stage.services[0] }))
    stage.records.putConfiguration([...stage.paths, { Name: name, Prefix: `/${name}/`, Service: stage.services[0] }, ...others])
    return true
  },
  [SoakStepKind.Evacuation]: async (stage, step) => {
    const domain = choose(stage.domains, step.target)!
    stage.records.putEvacuation(domain)
    await waitFor(stage.clock, step.spanMs)
    stage.records.removeEvacuation(domain)
    return true
  },
  [SoakStepKind.WorkerRestart]: async (stage, step) => await runDisturbing(stage, async () => {
    const gone = chooseWorker(stage, step)
    if (gone === undefined) return false
    stage.workers.end(gone)
    await waitFor(stage.clock, step.spanMs)
    await stage.workers.startAgain(gone)
    return true
  }),
  [SoakStepKind.ForeignEntry]: async (stage, step) => await runDisturbing(stage, async () => {
    const worker = chooseWorker(stage, step)
    if (worker === undefined) return false
    stage.records.store.putText(`servers/${worker.id}`, choose(FOREIGN_TEXTS, step.variant)!)
    await waitFor(stage.clock, step.spanMs)
    stage.workers.renewRecord(worker)
    return true
  })
}

/**
 * @param stage what it acts on
 * @param step what to do
 * @returns what came of it, when it is over
 */
export async function runStep (stage: SoakStage, step: SoakStep): Promise<StepEnd> {
  return await HANDLERS[step.kind](stage, step) ? StepEnd.Done : StepEnd.Passed
}
