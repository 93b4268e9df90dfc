/**
 * Faults in a deployment that runs in one process, begun and ended by how much
 * of the load has been answered: so a schedule means the same on a slow machine
 * and on a fast one.
 */
import { createDeadline } from '@umberspar/base/common/deadline'
import { waitForCondition } from '../load/polling.js'
import type { RegionalLoad } from '../load/regionalLoad.js'
import type { FleetWorker } from '../standIns/upstreamFleetStandIn.js'
import type { LocalDeployment } from './localDeployment.js'

/** What goes wrong. */
export enum FaultStepKind {
  StoreOutage = 'store-outage',
  /** Writes take effect and every second answer of one is lost. */
  StoreLostAnswers = 'store-lost-answers',
  StoreLostCalls = 'store-lost-calls',
  /** A worker is gone with all its connections. */
  WorkerLoss = 'worker-loss',
  /** A worker refuses new work and finishes what it has. */
  WorkerDrain = 'worker-drain',
  WorkerSlow = 'worker-slow',
  /** All workers of a service are so slow that the load takes all of their slots. */
  ServiceSlow = 'service-slow',
  /** An entry VM ends without a word and starts again. */
  EntryCrash = 'entry-crash',
  /** An entry VM stops as planned and starts again. */
  EntryStop = 'entry-stop'
}

/** One fault of a schedule. */
export interface FaultStep {
  readonly kind: FaultStepKind
  /** Which of the possible targets, as a part of their number: 0 to below 1. */
  readonly target: number
  /** Begins when this part of the load has been answered: 0 to below 1. */
  readonly from: number
  /** Ends when so much more has been answered, or with the load. */
  readonly span: number
}

interface FaultStepHandler {
  start(deployment: LocalDeployment, step: FaultStep): Promise<void> | void
  finish(deployment: LocalDeployment, step: FaultStep): Promise<void> | void
}

const POLL_MS = 5
const LOST_ANSWERS = 0.5
const LOST_CALLS = 0.3
const SLOW_FACTOR = 10
const SERVICE_SLOW_FACTOR = 60

function chooseTarget<T> ({ target }: FaultStep, all: readonly T[]): T {
  return all[Math.floor(target * all.length)] as T
}

function chooseWorker (deployment: LocalDeployment, step: FaultStep): FleetWorker['worker'] {
  return chooseTarget(step, deployment.platform.fleet.listWorkers()).worker
}

function setServiceSlow ({ configuration, platform }: LocalDeployment, step: FaultStep, slowFactor: number): void {
  const service = chooseTarget(step, Object.keys(configuration.services))
  for (const member of platform.fleet.listWorkers()) {
    if (member.service === service) member.worker.setFaults({ slowFactor })
  }
}

function buildStoreHandler (fault: Parameters<LocalDeployment['platform']['store']['setFault']>[0]): FaultStepHandler {
  return {
    start: ({ platform }) => platform.store.setFault(fault),
    finish: ({ platform }) => platform.store.clearFaults()
  }
}

const HANDLERS: Readonly<Record<FaultStepKind, FaultStepHandler>> = {
  [FaultStepKind.StoreOutage]: buildStoreHandler({ isDown: true }),
  [FaultStepKind.StoreLostAnswers]: buildStoreHandler({ loseAnswerProbability: LOST_ANSWERS }),
  [FaultStepKind.StoreLostCalls]: buildStoreHandler({ dropRequestProbability: LOST_CALLS }),
  [FaultStepKind.WorkerLoss]: {
    start: (deployment, step) => chooseWorker(deployment, step).setFaults({ isDown: true }),
    finish: (deployment, step) => chooseWorker(deployment, step).setFaults({ isDown: false })
  },
  [FaultStepKind.WorkerDrain]: {
    start: (deployment, step) => chooseWorker(deployment, step).startDrain(),
    finish: (deployment, step) => chooseWorker(deployment, step).stopDrain()
  },
  [FaultStepKind.WorkerSlow]: {
    start: (deployment, step) => chooseWorker(deployment, step).setFaults({ slowFactor: SLOW_FACTOR }),
    finish: (deployment, step) => chooseWorker(deployment, step).setFaults({ slowFactor: 1 })
  },
  [FaultStepKind.ServiceSlow]: {
    start: (deployment, step) => setServiceSlow(deployment, step, SERVICE_SLOW_FACTOR),
    finish: (deployment, step) => setServiceSlow(deployment, step, 1)
  },
  [FaultStepKind.EntryCrash]: {
    start: (deployment, step) => chooseTarget(step, deployment.entries).daemon.close(),
    finish: (deployment, step) => deployment.startEntry(chooseTarget(step, deployment.entries).settings)
  },
  [FaultStepKind.EntryStop]: {
    start: (deployment, step) => deployment.stopEntry(chooseTarget(step, deployment.entries).settings),
    finish: (deployment, step) => deployment.startEntry(chooseTarget(step, deployment.entries).settings)
  }
}

async function runStep (deployment: LocalDeployment, load: RegionalLoad, step: FaultStep, deadline: number): Promise<void> {
  const waitForPart = (part: number): Promise<boolean> =>
    waitForCondition(deployment.clock, deadline, POLL_MS, () => load.countEnded() >= Math.floor(Math.min(1, part) * load.countPlanned()))
  const handler = HANDLERS[step.kind]
  await waitForPart(step.from)
  await handler.start(deployment, step)
  await waitForPart(step.from + step.span)
  await handler.finish(deployment, step)
}

/**
 * Runs a schedule beside a load. Steps overlap as their parts say; two steps at
 * one target of one kind must not.
 * @param deployment what the faults hit
 * @param load the load, which must have a quota and be running
 * @param steps the schedule
 * @param withinMs ends every wait, so that a load that hangs ends the schedule as well
 * @returns when every step has ended
 */
export async function runFaultSteps (deployment: LocalDeployment, load: RegionalLoad, steps: readonly FaultStep[], withinMs: number): Promise<void> {
  const deadline = createDeadline(deployment.clock.now(), withinMs)
  await Promise.all(steps.map((step) => runStep(deployment, load, step, deadline)))
}
