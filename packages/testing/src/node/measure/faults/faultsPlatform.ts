/**
 * The platform's stand-ins in a process of their own that reports every
 * execution to its parent in batches and takes faults on a control listener.
 */
import type { IClosable } from '@umberspar/base/common/closing'
import type { Instant } from '@umberspar/base/common/clock'
import { Emitter } from '@umberspar/base/common/event'
import { LogLevel } from '@umberspar/base/common/logger'
import type { DaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { request } from 'undici'
import type { HistoryEvent } from '../../../common/history/historyEvent.js'
import { addPlatform, loadDeploymentFiles } from '../../deployment/deploymentFiles.js'
import { ExecutionRecorder } from '../../deployment/executionRecorder.js'
import { buildConnectionsCounted, buildLimitDeclared } from '../../deployment/workerLimits.js'
import { MachineClock } from '../../machineClock.js'
import { ControlListener } from '../../standIns/controlListener.js'
import type { ControlRequest } from '../../standIns/controlListener.js'
import { buildEntryVm } from '../../standIns/entrySettings.js'
import { PlatformStandIns } from '../../standIns/platformStandIns.js'
import type { ChildPlatformAnswer, ChildPlatformOrder } from '../childPlatform.js'
import { serveOneOrder } from '../childOrder.js'
import { ChildProgram } from '../childProgram.js'

/** What the child sends. */
enum MessageKind {
  Started = 'started',
  Events = 'events'
}

interface StartedMessage extends ChildPlatformAnswer {
  readonly kind: MessageKind.Started
  readonly controlUrl: string
}

/** What happened since the last batch. */
export interface EventBatch {
  readonly events: readonly HistoryEvent[]
  /** No later batch holds an event at or before this instant. */
  readonly passed: Instant
}

interface EventsMessage extends EventBatch {
  readonly kind: MessageKind.Events
}

const BATCH_EVERY_MS = 50
const LOOPBACK = '127.0.0.1:0'
const OK_STATUS = 200

/** The stand-ins' process, seen by its parent. */
export class FaultsPlatform implements IClosable {
  private readonly batches = new Emitter<EventBatch>()

  /** Fires for each batch of events, in their order. */
  readonly onDidRecord = this.batches.event

  private constructor (private readonly program: ChildProgram, private readonly started: StartedMessage) {
    program.onDidSend((message) => {
      const batch = message as EventsMessage
      if (batch.kind === MessageKind.Events) this.batches.fire(batch)
    })
  }

  /** With the addresses that the workers listen on. */
  get configuration (): SteeringConfiguration {
    return this.started.configuration
  }

  /** Settings of daemons that use these stand-ins. */
  get settings (): readonly DaemonSettings[] {
    return this.started.settings
  }

  /**
   * @param order what to start
   * @returns the stand-ins, once they listen
   */
  static async spawn (order: ChildPlatformOrder): Promise<FaultsPlatform> {
    const program = ChildProgram.spawn(new URL(import.meta.url))
    const started = program.waitForMessage<StartedMessage>()
    program.send(order)
    return new FaultsPlatform(program, await started)
  }

  /**
   * Switches faults; rejects if the stand-ins do not know them.
   * @param call target, faults and action
   */
  async callControl (call: ControlRequest): Promise<void> {
    const answer = await request(`${this.started.controlUrl}/v1/faults`, { method: 'POST', body: JSON.stringify(call) })
    const text = await answer.body.text()
    if (answer.statusCode !== OK_STATUS) throw new Error(`fault on ${call.target} was refused: ${text}`)
  }

  /** @returns settled when a batch has come that holds all that happened before this call */
  async waitForBatch (clock: MachineClock): Promise<void> {
    const asked = clock.now()
    await new Promise<void>((resolve) => {
      const listening = this.onDidRecord(({ passed }) => {
        if (passed < asked) return
        listening.close()
        resolve()
      })
    })
  }

  async close (): Promise<void> {
    await this.program.close()
    this.batches.close()
  }
}

/** Records in the child and sends in batches: one message for each event would cost more than the events. */
class BatchingHistory {
  private events: HistoryEvent[] = []

  constructor (private readonly clock: MachineClock, private readonly platform: PlatformStandIns) {}

  record (event: HistoryEvent): void {
    this.events.push(event)
  }

  start (): void {
    this.scheduleNext()
  }

  private scheduleNext (): void {
    this.clock.schedule(this.clock.now() + BATCH_EVERY_MS, () => {
      this.recordConnections()
      const { events } = this
      this.events = []
      // Whatever follows in this process gets a later instant, or this one if no time passes: hold that one back.
      process.send?.({ kind: MessageKind.Events, events, passed: this.clock.now() - 1 } satisfies EventsMessage)
      this.scheduleNext()
    })
  }

  /** Only of workers at their limit: the others can't break it, and would fill the batches. */
  private recordConnections (): void {
    const at = this.clock.now()
    for (const { workerId, worker } of this.platform.fleet.listWorkers()) {
      const limits = buildLimitDeclared(this.platform.configuration, workerId, at)
      if (limits === undefined) continue
      const counted = buildConnectionsCounted(limits, worker.getGauges(), at)
      if (counted.open > limits.connections) this.record(counted)
    }
  }
}

async function startPlatform (order: ChildPlatformOrder): Promise<StartedMessage> {
  const clock = new MachineClock()
  const files = await loadDeploymentFiles(order.deployment, order.entries, LogLevel.Error)
  const platform = await PlatformStandIns.start({
    configurationInput: files.configurationInput,
    keyPrefix: files.settings[0]?.store.keyPrefix ?? `/umberspar/${order.deployment}/`,
    entryVms: files.settings.map(buildEntryVm),
    clock,
    seed: order.seed
  })
  const history = new BatchingHistory(clock, platform)
  const recorder = new ExecutionRecorder(history, (workerId) => platform.fleet.findWorker(workerId)?.service ?? '')
  platform.fleet.onDidExecute((event) => recorder.handle(event))
  history.start()
  return {
    kind: MessageKind.Started,
    controlUrl: await new ControlListener(platform).start(LOOPBACK),
    configuration: platform.configuration,
    settings: files.settings.map((settings) => addPlatform(settings, platform.addresses))
  }
}

serveOneOrder(import.meta.url, startPlatform)
