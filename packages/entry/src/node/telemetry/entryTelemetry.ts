/** Writes the log lines and metrics of an entry process. */
import { type ILogger, LogLevel } from '@umberspar/base/common/logger'
import type { CallerVisit } from '@umberspar/steering/common/entry/admission/callerTimes'
import { RouteKind, type SteeringDocument } from '@umberspar/steering/common/entry/steeringDocument'
import { LinkState } from '@umberspar/steering/common/entry/workers/workerLinks'
import type { PlacementState } from '@umberspar/steering/common/entry/placement/demandPlacement'
import type { AttemptEndLogFields, AttemptLogFields, RelayEndLogFields } from './attemptLogFields.js'
import type { EntryMetrics } from './entryMetrics.js'
import { formatByRegion, toHundredths, toTenths, toThousandths } from './logFormat.js'
import { EndReason, AttemptOutcome, RequestOutcome } from './requestOutcomes.js'

/** What the refusal of a request was decided on. */
export interface RefusalInputs {
  /** Whether the caller came for the first time or had returned; undefined if that could not be told. */
  readonly visit: CallerVisit | undefined
  /** Expected time until the service has room, in milliseconds. */
  readonly roomAfterMs: number
  /** Retries that could be sent to the service. */
  readonly repeatsLeft: number
  /** Of these, those reserved for callers that are lost if they are refused. */
  readonly repeatsReserved: number
}

/** The log fields of the end of a request. */
export interface RequestEndLogFields extends Partial<RefusalInputs> {
  readonly requestId: string | undefined
  readonly route: string | undefined
  readonly service: string | undefined
  /** Name of the caller's client account; undefined if it has none or it isn't known. */
  readonly account: string | undefined
  readonly kind: string
  readonly status: number
  readonly end: RequestOutcome
  readonly reason: EndReason
  /** Number of attempts that were sent to a worker. */
  readonly offers: number
  readonly spanMs: number
  readonly goalMs: number | undefined
  readonly retryAfterMs: number | undefined
  /** Whether another VM relayed the request; undefined if not. */
  readonly isRelayed: true | undefined
  readonly configuration: number | undefined
  readonly era: number
  readonly revision: number
  /** Time since the records were last known to be current, in milliseconds; Infinity before any were read. */
  readonly recordsAgeMs: number
  /** Age of the proof that the records are current, in milliseconds; undefined if there is none. */
  readonly proofAgeMs: number | undefined
}

/** The log fields of a request that was refused by its rank, with what the decision was based on. */
export interface YieldLogFields {
  readonly requestId: string | undefined
  readonly service: string
  readonly route: string
  readonly reason: EndReason
  readonly priority: number
  readonly account: string | undefined
  readonly saturation: number
  readonly onTimeProbability: number | undefined
  /** The part of what is asked of the service that has to be refused. */
  readonly shortageRatio: number
  /** The part of such requests that is admitted. */
  readonly admittedRatio: number
  readonly accountUse: number | undefined
  readonly accountShare: number | undefined
  /** Age of what other VMs told, in milliseconds. */
  readonly knowledgeAgeMs: number | undefined
}

/** The log fields of a large record update that was sent to other VMs. */
export interface LargeUpdateLogFields {
  readonly revision: number
  /** Whether it contained all records, not only changes. */
  readonly isWhole: boolean
  readonly bytes: number
  /** Number of VMs it was written to. */
  readonly listeners: number
  /** Bytes still buffered for the VM with the most. */
  readonly waitingBytes: number
}

const LEVEL_BY_OUTCOME: Readonly<Record<RequestOutcome, LogLevel>> = {
  [RequestOutcome.Answered]: LogLevel.Info,
  [RequestOutcome.Abandoned]: LogLevel.Info,
  [RequestOutcome.Invalid]: LogLevel.Info,
  [RequestOutcome.Refused]: LogLevel.Warn,
  [RequestOutcome.Failed]: LogLevel.Warn,
  [RequestOutcome.TimedOut]: LogLevel.Warn
}

/** Logs and counts requests, attempts, and changes of the view of the deployment. */
export class EntryTelemetry {
  /**
   * @param logger writes the log lines
   * @param metrics counts the events
   */
  constructor (readonly logger: ILogger, readonly metrics: EntryMetrics) {}

  /** Logs an attempt with the worker chosen for it and the reasons. */
  logAttempt (fields: AttemptLogFields): void {
    const context = {
      step: 'offer-request',
      ...fields,
      expectedMs: toTenths(fields.expectedMs),
      waitMs: toTenths(fields.waitMs),
      handChance: Math.round(fields.handChance * 100) / 100,
      value: Math.round(fields.value * 1_000) / 1_000,
      failure: Math.round(fields.failure * 100) / 100,
      slowness: Math.round(fields.slowness * 100) / 100,
      reportAgeMs: fields.reportAgeMs === undefined ? undefined : Math.round(fields.reportAgeMs),
      pace: Math.round(fields.pace * 100) / 100,
      recordsAgeMs: Math.round(fields.recordsAgeMs)
    }
    this.logger.log(fields.offer > 1 ? LogLevel.Warn : LogLevel.Info, context, 'request attempted at a worker')
  }

  /** Counts the end of an attempt. It is logged only if there is no response to forward; otherwise the end of the request is. */
  logAttemptEnd ({ worker, ...fields }: AttemptEndLogFields): void {
    const { service, end, spanMs, idleMs } = fields
    this.metrics.countAttempt(service, end)
    if (end === AttemptOutcome.Answered) return
    this.logger.log(LogLevel.Warn, { step: 'end-offer', peer: worker, ...fields, spanMs: toTenths(spanMs), idleMs: idleMs === undefined ? undefined : toTenths(idleMs) }, 'attempt ended without a response to forward')
  }

  /** Logs that a request is relayed to another VM. */
  logRelay (requestId: string | undefined, service: string, relay: string, attempts: number): void {
    this.logger.log(LogLevel.Info, { step: 'relay-request', requestId, service, peer: relay, attempts }, 'request relayed to another entry VM')
  }

  /** Counts the end of an attempt by way of another VM. It is logged only if there is no response to forward. */
  logRelayEnd ({ relay, ...fields }: RelayEndLogFields): void {
    this.metrics.countRelay('sent', fields.end)
    if (fields.end === AttemptOutcome.Answered) return
    this.logger.log(LogLevel.Warn, { step: 'end-relay', peer: relay, ...fields, spanMs: toTenths(fields.spanMs) }, 'relayed request ended without a worker\'s response')
  }

  /** Counts a request that another VM relayed to this one. */
  countRelayed (outcome: string): void {
    this.metrics.countRelay('received', outcome)
  }

  /** Logs that this VM can't open connections to the workers of a service any more, or can again. */
  logLinkState (service: string, state: LinkState): void {
    const isLost = state === LinkState.Disconnected
    this.logger.log(isLost ? LogLevel.Warn : LogLevel.Info, { step: isLost ? 'disconnect-workers' : 'reconnect-workers', service }, isLost ? 'workers of a service can\'t be reached' : 'workers of a service can be reached again')
  }

  /** Logs that a worker announced another rate limit, or none any more. */
  logRateLimit (service: string, worker: string, perSecond: number | undefined): void {
    this.logger.log(LogLevel.Info, { step: 'limit-rate', peer: worker, service, perSecond }, 'rate limit announced by a worker changed')
  }

  /** Logs that a worker announced in a response that it drains. The store's registrations are logged as changes of the view. */
  logDrain (service: string, worker: string): void {
    this.logger.log(LogLevel.Info, { step: 'drain-worker', peer: worker, service, source: 'response' }, 'worker announced its shutdown in a response')
  }

  /** Logs that a worker asked for no requests from this VM for a while. */
  logCoolDown (service: string, worker: string, coolDownMs: number): void {
    this.logger.log(LogLevel.Info, { step: 'cool-down-worker', peer: worker, service, coolDownMs: Math.round(coolDownMs) }, 'worker asked for a cool-down')
  }

  /** Sets the gauges of a service's placement, and logs and counts it if it has changed. */
  logPlacement (service: string, { perSecondByRegion, usableSlotsByRegion, step, movedObjects }: PlacementState): void {
    for (const [region, usableSlots] of usableSlotsByRegion) {
      this.metrics.setRegionPlacement({ service, region, perSecond: perSecondByRegion?.get(region), usableSlots })
    }
    if (step === undefined) return
    this.metrics.countPlacementStep(service, movedObjects)
    this.logger.log(LogLevel.Info, {
      step: 'move-placement',
      service,
      demand: formatByRegion(perSecondByRegion),
      usableSlots: formatByRegion(usableSlotsByRegion),
      inForce: formatByRegion(step.demand?.demandByRegion),
      movedRatio: toThousandths(step.movedRatio),
      movedObjects
    }, 'placement of requests changed with demand')
  }

  /** Logs that the event loop was late, so that requests and closed connections were read late. */
  logEventLoopDelay (delayMs: number): void {
    this.logger.log(LogLevel.Warn, { step: 'delay-event-loop', delayMs: Math.round(delayMs) }, 'event loop was late')
  }

  /** Logs that datagrams of other VMs can't be received, so that this VM decides by what it observes itself. */
  logExchangeError (error: Error): void {
    this.logger.log(LogLevel.Error, { step: 'listen-exchange', reason: error.message }, 'datagrams about load can\'t be received')
  }

  /** Warns about routes whose kind this version doesn't know. */
  logUnknownKinds ({ version, routes }: SteeringDocument): void {
    const unknownRoutes = routes.filter(({ kind }) => kind === RouteKind.Unknown).map(({ name }) => name)
    if (unknownRoutes.length === 0) return
    this.logger.log(LogLevel.Warn, { step: 'adopt-configuration', configuration: version, routes: unknownRoutes.join(' ') }, 'requests on routes of unknown kind run at most once')
  }

  /** Counts bytes of records sent to another entry VM. */
  countSentRecordBytes (bytes: number): void {
    this.metrics.countSentRecordBytes(bytes)
  }

  /** Logs a large record update. */
  logLargeRecordUpdate (fields: LargeUpdateLogFields): void {
    this.logger.log(LogLevel.Info, { step: 'tell-records', ...fields }, 'large record update sent to other VMs')
  }

  /** Logs and counts a request that was refused by its rank. */
  logYield ({ outcome: _, ...fields }: YieldLogFields & { readonly outcome: unknown }): void {
    this.metrics.countYield(fields.service, fields.reason, fields.priority)
    const context = {
      step: 'yield-request',
      ...fields,
      saturation: toHundredths(fields.saturation),
      onTimeProbability: fields.onTimeProbability === undefined ? undefined : toHundredths(fields.onTimeProbability),
      shortageRatio: toHundredths(fields.shortageRatio),
      admittedRatio: toHundredths(fields.admittedRatio),
      accountUse: fields.accountUse === undefined ? undefined : toHundredths(fields.accountUse),
      accountShare: fields.accountShare === undefined ? undefined : toHundredths(fields.accountShare),
      knowledgeAgeMs: fields.knowledgeAgeMs === undefined ? undefined : Math.round(fields.knowledgeAgeMs)
    }
    this.logger.log(LogLevel.Warn, context, 'request yields at a service without room')
  }

  /** Logs and counts the end of a request. */
  logRequestEnd (fields: RequestEndLogFields): void {
    this.metrics.countRequest(fields.kind, fields.end, fields.reason)
    if (fields.service !== undefined) this.metrics.observeLatency(fields.service, fields.end, fields.spanMs)
    const recordsAgeMs = Number.isFinite(fields.recordsAgeMs) ? Math.round(fields.recordsAgeMs) : undefined
    this.logger.log(LEVEL_BY_OUTCOME[fields.end], { step: 'end-request', ...fields, spanMs: toTenths(fields.spanMs), recordsAgeMs }, 'request ended')
  }
}
