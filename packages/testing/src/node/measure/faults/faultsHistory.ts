/** Brings callers', workers' and planned events together and checks them while the run goes on. */
import type { IClock } from '@umberspar/base/common/clock'
import { HistoryChecker } from '../../../common/history/historyChecker.js'
import { AnswerKind, HistoryEventKind } from '../../../common/history/historyEvent.js'
import type { AnsweredEvent, HistoryEvent, IHistorySink } from '../../../common/history/historyEvent.js'
import { HistoryMerger } from '../../../common/history/historyMerger.js'
import { ViolationKind } from '../../../common/history/violation.js'
import type { Violation } from '../../../common/history/violation.js'
import type { EventBatch } from './faultsPlatform.js'

enum Source {
  /** Callers and planned changes, in this process. */
  Here = 'here',
  Workers = 'workers'
}

const SHOWN_PER_KIND = 5

/** Addresses and workers differ between runs and would make each detail a kind of its own. */
const NAMES_IN_DETAIL = /\d+\.\d+\.\d+\.\d+:\d+|worker-\d+/g

function buildDetail ({ answer, detail }: AnsweredEvent): string {
  return `${answer}: ${(detail ?? '').replace(NAMES_IN_DETAIL, '*')}`
}

function addOne (counts: Map<string, number>, member: string): void {
  counts.set(member, (counts.get(member) ?? 0) + 1)
}

/** The history of a run, kept only as long as the checker needs it. */
export class FaultsHistory implements IHistorySink {
  /** How often each promise was broken. */
  readonly violations = new Map<ViolationKind, number>(Object.values(ViolationKind).map((kind) => [kind, 0]))
  /** The first of each kind. */
  readonly shown: Violation[] = []
  /** How often workers failed a request on purpose, by fault. */
  readonly faults = new Map<string, number>()
  /** How often an attempt ended other than whole, by what was said of it. */
  readonly attemptDetails = new Map<string, number>()
  events = 0
  executions = 0
  private here: HistoryEvent[] = []
  private readonly checker = new HistoryChecker((violation) => this.addViolation(violation))
  private readonly merger = new HistoryMerger({ record: (event) => this.check(event) }, Object.values(Source))

  constructor (private readonly clock: IClock) {}

  /** @param event an event of this process */
  record (event: HistoryEvent): void {
    this.here.push(event)
  }

  /** @param batch what the workers' process recorded; settles what this process recorded as well */
  accept ({ events, passed }: EventBatch): void {
    const { here } = this
    this.here = []
    this.merger.accept(Source.Here, here, this.clock.now())
    this.merger.accept(Source.Workers, events, passed)
  }

  /** Checks what is still held back; nothing may be recorded afterwards. */
  finish (): void {
    this.merger.accept(Source.Here, this.here, Infinity)
    this.merger.accept(Source.Workers, [], Infinity)
  }

  /** @returns how many requests the checker remembers */
  countRemembered (): number {
    return this.checker.countTracked()
  }

  /** @returns how many requests took the last free slot of a worker */
  countLastSlots (): number {
    return this.checker.countSaturations()
  }

  /** @returns how many requests came to workers whose limits are not known */
  countUnlimited (): number {
    return this.checker.countUncheckedRequests()
  }

  private check (event: HistoryEvent): void {
    this.events += 1
    if (event.kind === HistoryEventKind.ExecutionStarted) this.executions += 1
    if (event.kind === HistoryEventKind.FaultInjected) addOne(this.faults, event.fault)
    if (event.kind === HistoryEventKind.Answered && event.answer !== AnswerKind.Complete) addOne(this.attemptDetails, buildDetail(event))
    this.checker.record(event)
  }

  private addViolation (violation: Violation): void {
    const { kind } = violation
    const count = (this.violations.get(kind) ?? 0) + 1
    this.violations.set(kind, count)
    if (count <= SHOWN_PER_KIND) this.shown.push(violation)
  }
}
