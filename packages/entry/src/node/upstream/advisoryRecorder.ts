/** Records what workers announce in their responses, and logs it. */
import type { IClock } from '@umberspar/base/common/clock'
import { createDeadline } from '@umberspar/base/common/deadline'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import type { UpstreamRegistration } from '@umberspar/steering/common/entry/records'
import type { ICallerProtocol } from '@umberspar/steering/common/ports/callerProtocol'
import type { EntryTelemetry } from '../telemetry/entryTelemetry.js'
import { type AdvisorySignals, parseAdvisorySignals } from './advisorySignals.js'
import { isFromWorker } from './classifyResponse.js'
import type { IResponseObserver } from './upstreamPools.js'
import type { ResponseHead } from './responseParser.js'

/** Dependencies of an {@link AdvisoryRecorder}. */
export interface AdvisoryRecorderDependencies {
  readonly clock: IClock
  readonly view: EntryView
  readonly protocol: ICallerProtocol
  readonly telemetry: EntryTelemetry
}

/** Records the announcements of all workers. */
export class AdvisoryRecorder implements IResponseObserver {
  /** @param dependencies the services that it uses */
  constructor (private readonly dependencies: AdvisoryRecorderDependencies) {}

  handleResponseHead (worker: UpstreamRegistration, head: ResponseHead): void {
    if (isFromWorker(this.dependencies.protocol, head)) this.record(worker, parseAdvisorySignals(head, this.dependencies.protocol.headers))
  }

  /**
   * Records what a worker announced.
   * @param worker the worker
   * @param signals what it announced to this VM, or to one that sent it a request of this VM
   */
  record (worker: UpstreamRegistration, { isDraining, coolDownMs }: AdvisorySignals): void {
    const { clock, view, telemetry } = this.dependencies
    const { id, service } = worker
    if (isDraining && view.recordDrain(worker)) telemetry.logDrain(service, id)
    const now = clock.now()
    if (coolDownMs !== undefined && view.recordCoolDown(worker, createDeadline(now, coolDownMs), now)) telemetry.logCoolDown(service, id, coolDownMs)
  }
}
