/** Makes things go wrong while the load runs, and puts them right again. */
import type { IClock } from '@umberspar/base/common/clock'
import { SeededRandom } from '@umberspar/base/common/random'
import { HistoryEventKind } from '../../../common/history/historyEvent.js'
import type { IHistorySink, PlannedEvent } from '../../../common/history/historyEvent.js'
import { listWorkerIds } from '../../deployment/workerLimits.js'
import { ControlAction } from '../../standIns/controlListener.js'
import type { ControlRequest } from '../../standIns/controlListener.js'
import { waitUntil } from '../../waiting.js'
import type { DaemonFleet } from './daemonFleet.js'
import { chooseTarget, DisturbanceKind, DisturbanceTrack, takeNextDisturbance } from './disturbance.js'
import type { Disturbance } from './disturbance.js'
import type { FaultsPlatform } from './faultsPlatform.js'

/** What the disturber acts on. */
export interface DisturberOptions {
  readonly clock: IClock
  readonly seed: number
  readonly platform: FaultsPlatform
  readonly daemons: DaemonFleet
  readonly history: IHistorySink
}

type DisturbanceHandler = (disturber: Disturber, disturbance: Disturbance) => Promise<void>

/** Apart from the seeds of the load. */
const TRACK_SEED_STEP = 104_729
const SLOW_FACTOR = 10
const SERVICE_SLOW_FACTOR = 100
const STORE_SLOW_MS = 300
const LOST_ANSWERS = 0.5
const LOST_CALLS = 0.3
/** Longer than the grace in which a draining worker may still get work, so that the drain shows. */
const MIN_DRAIN_MS = 4000

/** Runs the disturbances of all tracks. */
export class Disturber {
  /** How often each kind happened. */
  readonly counts = new Map<DisturbanceKind, number>()
  /** What the product did not do as it should, such as a planned stop that ended with an error. */
  readonly failures: string[] = []
  private readonly workerIds: readonly string[]
  private readonly busyWorkers = new Set<string>()

  constructor (private readonly options: DisturberOptions) {
    this.workerIds = listWorkerIds(options.platform.configuration)
  }

  /**
   * @param signal no disturbance begins once it is aborted
   * @returns when the last disturbance has been put right
   */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all(Object.values(DisturbanceTrack).map((track, index) => this.runTrack(track, index, signal)))
  }

  async runKill (disturbance: Disturbance): Promise<void> {
    const { clock, daemons } = this.options
    const settings = chooseTarget(disturbance, daemons.settings)
    await daemons.stopAtOnce(settings)
    await waitUntil(clock, clock.now() + disturbance.lastSpanMs)
    await daemons.startOne(settings)
  }

  async runRestart (disturbance: Disturbance): Promise<void> {
    const { daemons } = this.options
    const settings = chooseTarget(disturbance, daemons.settings)
    const targets = [settings.callers.address]
    this.recordPlanned(HistoryEventKind.StopStarted, targets)
    const { code, signal } = await daemons.stop(settings)
    this.recordPlanned(HistoryEventKind.StopEnded, targets)
    if (code !== 0) this.failures.push(`the planned stop of ${settings.nodeId} ended with ${code ?? signal}`)
    await daemons.startOne(settings)
  }

  async runWorkerDrain (disturbance: Disturbance): Promise<void> {
    await this.runAtWorker(disturbance, async (workerId) => {
      this.recordPlanned(HistoryEventKind.DrainAnnounced, [workerId])
      await this.runControl({ target: `worker:${workerId}`, action: ControlAction.Drain })
      await this.wait(Math.max(MIN_DRAIN_MS, disturbance.lastSpanMs))
      this.recordPlanned(HistoryEventKind.DrainWithdrawn, [workerId])
      await this.runControl({ target: `worker:${workerId}`, action: ControlAction.Undrain })
    })
  }

  async runWorkerLoss (disturbance: Disturbance): Promise<void> {
    await this.runAtWorker(disturbance, async (workerId) => {
      const target = `worker:${workerId}`
      await this.runControl({ target, fault: { isDown: true } })
      await this.wait(disturbance.lastSpanMs)
      await this.runControl({ target, fault: { isDown: false }, action: ControlAction.Cold })
    })
  }

  async runSlowWorker (disturbance: Disturbance): Promise<void> {
    await this.runAtWorker(disturbance, async (workerId) => {
      const target = `worker:${workerId}`
      await this.runControl({ target, fault: { slowFactor: SLOW_FACTOR } })
      await this.wait(disturbance.lastSpanMs)
      await this.runControl({ target, fault: { slowFactor: 1 } })
    })
  }

  async runSlowService (disturbance: Disturbance): Promise<void> {
    const target = `service:${chooseTarget(disturbance, Object.keys(this.options.platform.configuration.services))}`
    await this.runControl({ target, fault: { slowFactor: SERVICE_SLOW_FACTOR } })
    await this.wait(disturbance.lastSpanMs)
    await this.runControl({ target, fault: { slowFactor: 1 } })
  }

  async runStoreFault ({ lastSpanMs }: Disturbance, fault: object): Promise<void> {
    await this.runControl({ target: 'store', fault })
    await this.wait(lastSpanMs)
    await this.runControl({ target: 'store', action: ControlAction.Clear })
  }

  runControl (call: ControlRequest): Promise<void> {
    return this.options.platform.callControl(call)
  }

  /** Two tracks disturb workers; what one switches off must not end the other's disturbance of the same worker. */
  private async runAtWorker (disturbance: Disturbance, run: (workerId: string) => Promise<void>): Promise<void> {
    const workerId = chooseTarget(disturbance, this.workerIds.filter((id) => !this.busyWorkers.has(id)))
    this.busyWorkers.add(workerId)
    await run(workerId)
    this.busyWorkers.delete(workerId)
  }

  private async runTrack (track: DisturbanceTrack, index: number, signal: AbortSignal): Promise<void> {
    const random = new SeededRandom(this.options.seed + (index + 1) * TRACK_SEED_STEP)
    while (!signal.aborted) {
      const disturbance = takeNextDisturbance(random, track)
      await this.wait(disturbance.pauseSpanMs)
      if (signal.aborted) return
      const { kind } = disturbance
      this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1)
      try {
        await HANDLERS[kind](this, disturbance)
      } catch (failure) {
        this.failures.push(`${kind}: ${failure instanceof Error ? failure.message : String(failure)}`)
      }
    }
  }

  private wait (spanMs: number): Promise<void> {
    const { clock } = this.options
    return waitUntil(clock, clock.now() + spanMs)
  }

  private recordPlanned (kind: PlannedEvent['kind'], targets: readonly string[]): void {
    this.options.history.record({ kind, at: this.options.clock.now(), targets })
  }
}

const HANDLERS: Readonly<Record<DisturbanceKind, DisturbanceHandler>> = {
  [DisturbanceKind.DaemonKill]: (disturber, disturbance) => disturber.runKill(disturbance),
  [DisturbanceKind.DaemonRestart]: (disturber, disturbance) => disturber.runRestart(disturbance),
  [DisturbanceKind.StoreOutage]: (disturber, disturbance) => disturber.runStoreFault(disturbance, { isDown: true }),
  [DisturbanceKind.StoreLostAnswers]: (disturber, disturbance) => disturber.runStoreFault(disturbance, { loseAnswerProbability: LOST_ANSWERS }),
  [DisturbanceKind.StoreLostCalls]: (disturber, disturbance) => disturber.runStoreFault(disturbance, { dropRequestProbability: LOST_CALLS }),
  [DisturbanceKind.StoreSlow]: (disturber, disturbance) => disturber.runStoreFault(disturbance, { slowSpanMs: STORE_SLOW_MS }),
  [DisturbanceKind.StoreCutWatches]: (disturber) => disturber.runControl({ target: 'store', action: ControlAction.CutWatches }),
  [DisturbanceKind.WorkerDrain]: (disturber, disturbance) => disturber.runWorkerDrain(disturbance),
  [DisturbanceKind.WorkerLoss]: (disturber, disturbance) => disturber.runWorkerLoss(disturbance),
  [DisturbanceKind.WorkerSlow]: (disturber, disturbance) => disturber.runSlowWorker(disturbance),
  [DisturbanceKind.ServiceSlow]: (disturber, disturbance) => disturber.runSlowService(disturbance)
}
