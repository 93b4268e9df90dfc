/** Runs the steps of a plan, with one handler per kind. A handler returns when its step is over. */
import type { IClock } from '@umberspar/base/common/clock'
import { LinkFault, type TcpRelay } from '@umberspar/testing/node/standIns/tcpRelay'
import { WorkerFault } from '@umberspar/testing/node/standIns/usersPlatform/platformWorkerStandIn'
import type { PathInput, PlatformRecords } from '@umberspar/testing/node/standIns/usersPlatform/platformRecords'
import { WorkerLinkFault } from '@umberspar/testing/node/standIns/usersPlatform/workerLink'
import { StoreFault } from '@umberspar/testing/node/standIns/usersPlatform/recordStoreStandIn'
import { waitFor } from '@umberspar/testing/node/waiting'
import { type SoakPhase, type SoakStep, SoakStepKind } from '../common/soakPlan.js'
import type { DisruptionTracker } from './disruptionTracker.js'
import { FOREIGN_REGISTRATIONS, INVALID_RESPONSES, LINK_FAULTS, STORE_FAULTS, WORKER_FAULTS, WORKER_LINK_FAULTS } from './faultLists.js'
import type { SoakCallers } from './soakCallers.js'
import type { SoakEntries, SoakEntry } from './soakEntries.js'
import type { SoakChecker } from './soakChecker.js'
import type { SoakWorker, SoakWorkers } from './soakWorkers.js'
import { runRateLimit } from './soakRateLimit.js'
import { runRush } from './soakRush.js'
import { runStoreRollback } from './storeRollback.js'

/** The objects that steps act on. */
export interface SoakEnvironment {
  readonly clock: IClock
  readonly disruptions: DisruptionTracker
  readonly checker: SoakChecker
  readonly records: PlatformRecords
  readonly entries: SoakEntries
  readonly workers: SoakWorkers
  readonly domains: readonly string[]
  readonly services: readonly string[]
  readonly phases: readonly SoakPhase[]
  /** Callers of the greedy account, which send during rushes only. */
  readonly greedyCallers: readonly SoakCallers[]
  isRushing: boolean
  /** The routes that callers use; steps add further ones. */
  readonly paths: readonly PathInput[]
}

/** The outcome of a step. */
export enum StepOutcome {
  Done = 'done',
  /** There was no suitable target, or another step was using it. */
  Skipped = 'passed'
}

type StepHandler = (environment: SoakEnvironment, step: SoakStep) => Promise<boolean>

/** Time from a worker's announcement until its end. It must serve for at least 2.5 s. */
const DRAIN_MS = 3_500
/** How much longer a worker serves whose drain the store does not know of, so that late requests are detected. */
const UNREGISTERED_DRAIN_MS = 2_500
/** Steps with at least this `variant` pause all workers of a service. */
const ALL_PAUSED_MIN_VARIANT = 0.8
/** Pauses that workers ask for, in seconds; from shorter to longer than the refusals last. */
const MIN_PAUSE_SECONDS = 0.7
const PAUSE_RANGE_SECONDS = 3.3
/** Time until the registration of a crashed worker expires; its address is not reused earlier. */
const REGISTRATION_EXPIRY_MS = 2_500
/** Steps with a greater `target` apply a store fault to all entry VMs. */
const ALL_ENTRIES_MIN_TARGET = 0.6
/** Ratio of entry VMs affected by the other store faults, and by lost links to workers. */
const AFFECTED_ENTRY_RATIO = 0.4
/** Offset by which the wall clock is shifted, forwards or backwards. */
const CLOCK_STEP_MS = 3_600_000
/** Number of possible names of added routes; large enough that most changes add a new name. */
const ADDED_ROUTE_NAMES = 1_000
/** Steps with at least this `target` write a large configuration, which fills the buffers of the connections that transfer it. */
const LARGE_CONFIGURATION_MIN_TARGET = 0.7
const LARGE_CONFIGURATION_ROUTES = 1_500
const MIN_WORKERS_PER_SERVICE = 2
/** Part of the datagrams that is lost where not all are. */
const EXCHANGE_LOSS_RATIO = 0.3

function chooseAt<T> (list: readonly T[], fraction: number): T | undefined {
  return list[Math.floor(fraction * list.length)]
}

/** Chooses a worker whose service has enough workers without it. */
function chooseWorker ({ workers }: SoakEnvironment, { target }: SoakStep): SoakWorker | undefined {
  const list = workers.list()
  return chooseAt(list.filter(({ service }) => list.filter((other) => other.service === service).length > MIN_WORKERS_PER_SERVICE), target)
}

/** Runs a fault and records it as a disruption, so that guarantees that hold only without disruptions are not checked meanwhile. */
async function runDisruption (environment: SoakEnvironment, runFault: () => Promise<boolean>): Promise<boolean> {
  environment.disruptions.start()
  try {
    return await runFault()
  } finally {
    environment.disruptions.end()
  }
}

/** Makes a worker misbehave in one of the given ways. */
async function runWorkerFault (environment: SoakEnvironment, step: SoakStep, faults: readonly WorkerFault[]): Promise<boolean> {
  return await runDisruption(environment, async () => {
    const faulty = chooseWorker(environment, step)
    if (faulty === undefined) return false
    faulty.worker.fault = chooseAt(faults, step.variant)!
    await waitFor(environment.clock, step.spanMs)
    faulty.worker.fault = WorkerFault.None
    return true
  })
}

function chooseEntry ({ entries }: SoakEnvironment, { target }: SoakStep): SoakEntry {
  return chooseAt(entries.list, target)!
}

function chooseSomeEntries ({ entries: { list } }: SoakEnvironment, { target }: SoakStep): SoakEntry[] {
  const firstIndex = Math.floor(target * list.length)
  return [...list, ...list].slice(firstIndex, firstIndex + Math.ceil(list.length * AFFECTED_ENTRY_RATIO))
}

function listLinks ({ entries, workers }: SoakEnvironment): TcpRelay[] {
  return [...entries.list.flatMap(({ callerLink, storeLink }) => [callerLink, storeLink]), ...workers.list().map(({ link }) => link)]
}

const HANDLERS: Readonly<Record<SoakStepKind, StepHandler>> = {
  [SoakStepKind.EntryKill]: async (environment, step) => await runDisruption(environment, async () => {
    const entry = chooseEntry(environment, step)
    return await entry.runExclusively(async (program) => {
      entry.expectExit()
      await program.stopAtOnce()
      await waitFor(environment.clock, step.spanMs)
      entry.start()
    })
  }),
  [SoakStepKind.EntryPause]: async (environment, step) => await runDisruption(environment, async () => await chooseEntry(environment, step).runExclusively(async (program) => {
    program.hold()
    await waitFor(environment.clock, step.spanMs)
    program.release()
  })),
  [SoakStepKind.EntryStop]: async (environment, step) => {
    const entry = chooseEntry(environment, step)
    return await entry.runExclusively(async (program) => {
      const { callers } = entry.settings.listen
      entry.expectExit()
      environment.checker.recordStopStart(callers)
      await program.stop()
      environment.checker.recordStopEnd(callers)
      entry.start()
    })
  },
  [SoakStepKind.EntryReload]: async (environment, step) => {
    const entry = chooseEntry(environment, step)
    // Before Node.js has started, SIGHUP would end the process.
    if (!await entry.isReady()) return false
    return await entry.runExclusively(async () => { entry.updateSettings() })
  },
  [SoakStepKind.ClockStep]: async (environment, step) => {
    const entry = chooseEntry(environment, step)
    entry.setTimeShift(step.variant < 0.5 ? CLOCK_STEP_MS : -CLOCK_STEP_MS)
    await waitFor(environment.clock, step.spanMs)
    entry.setTimeShift(0)
    return true
  },
  [SoakStepKind.WorkerCrash]: async (environment, step) => await runDisruption(environment, async () => {
    const ended = chooseWorker(environment, step)
    if (ended === undefined) return false
    environment.workers.end(ended)
    await waitFor(environment.clock, REGISTRATION_EXPIRY_MS)
    environment.workers.removeRecord(ended)
    await environment.workers.add(ended.service, ended.domain, true)
    return true
  }),
  [SoakStepKind.WorkerDrain]: async (environment, step) => {
    const draining = chooseWorker(environment, step)
    if (draining === undefined) return false
    environment.workers.startDrain(draining)
    await environment.workers.add(draining.service, draining.domain, true)
    await waitFor(environment.clock, DRAIN_MS)
    environment.workers.removeRecord(draining)
    environment.workers.end(draining)
    return true
  },
  [SoakStepKind.WorkerAddressReuse]: async (environment, step) => await runDisruption(environment, async () => {
    const ended = chooseWorker(environment, step)
    if (ended === undefined) return false
    environment.workers.end(ended)
    await waitFor(environment.clock, REGISTRATION_EXPIRY_MS)
    const otherServices = environment.services.filter((service) => service !== ended.service)
    await environment.workers.startAtAddress(ended, chooseAt(otherServices, step.variant)!)
    // The old registration expires only after the new worker has registered the address, so both are in the store meanwhile.
    await waitFor(environment.clock, step.spanMs)
    environment.workers.removeRecord(ended)
    await environment.workers.add(ended.service, ended.domain, true)
    return true
  }),
  [SoakStepKind.WorkerFault]: async (environment, step) => await runWorkerFault(environment, step, WORKER_FAULTS),
  [SoakStepKind.WorkerInvalidResponse]: async (environment, step) => await runWorkerFault(environment, step, INVALID_RESPONSES),
  [SoakStepKind.StoreFault]: async (environment, step) => await runDisruption(environment, async () => {
    const affected = step.target > ALL_ENTRIES_MIN_TARGET ? environment.entries.list : chooseSomeEntries(environment, step)
    for (const { store } of affected) store.setFault(chooseAt(STORE_FAULTS, step.variant)!)
    await waitFor(environment.clock, step.spanMs)
    for (const { store } of affected) store.setFault(StoreFault.None)
    return true
  }),
  [SoakStepKind.StoreCompact]: async (environment) => await runDisruption(environment, async () => {
    for (const { store } of environment.entries.list) store.closeWatches()
    environment.records.store.state.clearHistory()
    return true
  }),
  [SoakStepKind.LinkFault]: async (environment, step) => await runDisruption(environment, async () => {
    const link = chooseAt(listLinks(environment), step.target)!
    link.setFault(chooseAt(LINK_FAULTS, step.variant)!)
    await waitFor(environment.clock, step.spanMs)
    link.setFault(LinkFault.None)
    return true
  }),
  [SoakStepKind.ConfigurationChange]: async (environment, step) => {
    const name = `added-${Math.floor(step.variant * ADDED_ROUTE_NAMES)}`
    const length = step.target >= LARGE_CONFIGURATION_MIN_TARGET ? LARGE_CONFIGURATION_ROUTES : 0
    const largeRoutes = Array.from({ length }, (_, index) => ({ Name: `large-${index}`, Prefix: `/large/${index}/`, Service: environment.services[0] }))
    environment.records.putConfiguration([...environment.paths, { Name: name, Prefix: `/${name}/`, Service: environment.services[0] }, ...largeRoutes])
    return true
  },
  [SoakStepKind.Evacuation]: async (environment, step) => {
    const domain = chooseAt(environment.domains, step.target)!
    environment.records.putEvacuation(domain)
    await waitFor(environment.clock, step.spanMs)
    environment.records.removeEvacuation(domain)
    return true
  },
  [SoakStepKind.WorkerRestart]: async (environment, step) => await runDisruption(environment, async () => {
    const ended = chooseWorker(environment, step)
    if (ended === undefined) return false
    environment.workers.end(ended)
    await waitFor(environment.clock, step.spanMs)
    await environment.workers.startAgain(ended)
    return true
  }),
  [SoakStepKind.WorkerUnregisteredDrain]: async (environment, step) => await runDisruption(environment, async () => {
    const draining = chooseWorker(environment, step)
    if (draining === undefined) return false
    environment.workers.startUnregisteredDrain(draining)
    await environment.workers.add(draining.service, draining.domain, true)
    await waitFor(environment.clock, DRAIN_MS)
    environment.workers.renewReadyRecord(draining)
    await waitFor(environment.clock, UNREGISTERED_DRAIN_MS)
    environment.workers.removeRecord(draining)
    environment.workers.end(draining)
    return true
  }),
  [SoakStepKind.WorkerPause]: async (environment, step) => await runDisruption(environment, async () => {
    const chosen = chooseWorker(environment, step)
    if (chosen === undefined) return false
    const paused = step.variant >= ALL_PAUSED_MIN_VARIANT ? environment.workers.list().filter(({ service }) => service === chosen.service) : [chosen]
    for (const { worker } of paused) {
      worker.fault = WorkerFault.Shed
      worker.retryAfter = [String(MIN_PAUSE_SECONDS + PAUSE_RANGE_SECONDS * step.variant)]
    }
    await waitFor(environment.clock, step.spanMs)
    for (const { worker } of paused) {
      worker.fault = WorkerFault.None
      worker.retryAfter = []
    }
    return true
  }),
  [SoakStepKind.RegistrationOverwrite]: async (environment, step) => await runDisruption(environment, async () => {
    const worker = chooseWorker(environment, step)
    if (worker === undefined) return false
    environment.records.store.putText(`servers/${worker.id}`, chooseAt(FOREIGN_REGISTRATIONS, step.variant)!)
    await waitFor(environment.clock, step.spanMs)
    environment.workers.renewRecord(worker)
    return true
  }),
  [SoakStepKind.WorkersUnreachable]: async (environment, step) => await runDisruption(environment, async () => {
    const affected = chooseSomeEntries(environment, step)
    const addresses = environment.workers.list().map(({ address }) => address)
    for (const entry of affected) entry.setWorkerLink(chooseAt(WORKER_LINK_FAULTS, step.variant)!, addresses)
    await waitFor(environment.clock, step.spanMs)
    for (const entry of affected) entry.setWorkerLink(WorkerLinkFault.None, [])
    return true
  }),
  [SoakStepKind.ExchangeLoss]: async (environment, step) => {
    const affected = chooseSomeEntries(environment, step)
    const ratio = step.variant % 0.5 < 0.25 ? 1 : EXCHANGE_LOSS_RATIO
    for (const entry of affected) entry.setExchangeLoss(step.variant < 0.5 ? { sent: ratio, received: 0 } : { sent: 0, received: ratio })
    await waitFor(environment.clock, step.spanMs)
    for (const entry of affected) entry.setExchangeLoss({ sent: 0, received: 0 })
    return true
  },
  [SoakStepKind.Rush]: runRush,
  [SoakStepKind.WorkerRateLimit]: runRateLimit,
  [SoakStepKind.StoreRollback]: async (environment, step) => await runDisruption(environment, async () => {
    await runStoreRollback(environment.clock, environment.records.store, step.spanMs, step.variant)
    return true
  })
}

/**
 * Runs a step.
 * @param environment the objects that it acts on
 * @param step the step
 * @returns the outcome, when the step is over
 */
export async function runStep (environment: SoakEnvironment, step: SoakStep): Promise<StepOutcome> {
  return await HANDLERS[step.kind](environment, step) ? StepOutcome.Done : StepOutcome.Skipped
}
