/** How the choice of workers spreads load over one place with one flawed worker, against a random choice. */
import type { Instant } from '@umberspar/base/common/clock'
import type { IRandomSource } from '@umberspar/base/common/random'
import { chooseWorker } from '@umberspar/steering/common/workers/chooseWorker'
import type { WorkerState } from '@umberspar/steering/common/workers/workerState'
import { type WorkerChooser, WorkerChoiceSimulation, type WorkerFault } from '../../common/choice/workerChoiceSimulation.js'
import { LocalDeployment } from '../deployment/localDeployment.js'
import { waitUntil } from '../waiting.js'
import type { FigureRow, Measurement, MeasureOptions } from './measurement.js'
import { printFigures } from './measurement.js'

const NAME = 'workers'
const MS_PER_SECOND = 1000
const READY_WITHIN_MS = 20_000

const FLAWS: ReadonlyArray<readonly [name: string, flaw: WorkerFault]> = [
  ['none', {}],
  ['5 times slow', { slowFactor: 5 }],
  ['3 times slow, claims 0 %', { slowFactor: 3, reportedUtilization: 0 }],
  ['well, claims 100 %', { reportedUtilization: 1 }],
  ['cold, 4 times slow', { coldFactor: 4 }],
  ['answers errors at once', { isFailing: true }]
]

/** The simplest choice: any worker with a free slot. */
function chooseAtRandom (candidates: readonly WorkerState[], _now: Instant, random: IRandomSource): string | undefined {
  const free = candidates.filter((worker) => worker.inFlight < worker.slots)
  return free[Math.floor(random.next() * free.length)]?.workerId
}

/** The better of two by requests in flight alone. */
function chooseByInFlight (candidates: readonly WorkerState[], now: Instant, random: IRandomSource): string | undefined {
  const bare = candidates.map((worker) => ({ ...worker, load: undefined, answerTime: undefined, warmUpUntil: -Infinity, ejectedUntil: -Infinity, ejectionsInRow: 0 }))
  return chooseWorker(bare, now, random)
}

/** The same and the reported load, slow start and ejection, but not answer times. */
function chooseWithoutTimes (candidates: readonly WorkerState[], now: Instant, random: IRandomSource): string | undefined {
  return chooseWorker(candidates.map((worker) => ({ ...worker, answerTime: undefined })), now, random)
}

const CHOICES: ReadonlyArray<readonly [name: string, choice: WorkerChooser]> = [
  ['random', chooseAtRandom],
  ['in flight only', chooseByInFlight],
  ['and load, slow start, ejection', chooseWithoutTimes],
  ['and answer times', chooseWorker]
]

function computePercentile (sorted: readonly number[], part: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0
}

function measureFlaw (name: string, flaw: WorkerFault, options: MeasureOptions): FigureRow[] {
  let baseline: number | undefined
  return CHOICES.map(([choiceName, choice]) => {
    const { latencies, faultyWorkerShare: flawedPart, failedShare: failedPart } = new WorkerChoiceSimulation(choice, flaw, options.seed).run(options.seconds * MS_PER_SECOND)
    const sorted = [...latencies].sort((left, right) => left - right)
    const p99Ms = computePercentile(sorted, 0.99)
    baseline ??= p99Ms
    return { flaw: name, choice: choiceName, p50Ms: computePercentile(sorted, 0.5), p99Ms, p99Ratio: p99Ms / baseline, flawedPart, failedPart }
  })
}

/** How often the workers of a deployment without load are asked for health and load. */
async function measureProbes ({ deployment: name, seconds, seed }: MeasureOptions): Promise<FigureRow | undefined> {
  const deployment = await LocalDeployment.start({ deployment: name, seed })
  try {
    const { clock, platform: { fleet } } = deployment
    if (!await deployment.waitUntilReady(READY_WITHIN_MS)) return undefined
    const workers = fleet.listWorkers()
    const before = workers.map(({ worker }) => worker.getGauges().probes)
    await waitUntil(clock, clock.now() + seconds * MS_PER_SECOND)
    const rates = workers.map(({ worker }, index) => (worker.getGauges().probes - before[index]!) / seconds)
    const mean = rates.reduce((sum, rate) => sum + rate, 0) / rates.length
    return { deployment: name, workers: rates.length, neverAsked: rates.filter((rate) => rate === 0).length, meanPerSecond: mean, leastPerSecond: Math.min(...rates), mostPerSecond: Math.max(...rates) }
  } finally {
    await deployment.close()
  }
}

/** `npm run measure -- workers`. */
export const WORKER_MEASUREMENT: Measurement = {
  summary: 'choice of workers with one flawed among twelve: p99 against a random choice as 1.00, and the flawed one\'s part of requests (simulated time); probes that each worker gets',
  async run (options) {
    printFigures(NAME, FLAWS.flatMap(([name, flaw]) => measureFlaw(name, flaw, options)))
    const probes = await measureProbes(options)
    if (probes === undefined) return `the entry VMs are not ready within ${READY_WITHIN_MS} ms`
    printFigures(NAME, [probes])
    return undefined
  }
}
