/**
 * Reconstructs the history of one request from the log lines of all entry VMs: each step
 * with the state of its VM at that time, and a conclusion drawn from the request's outcome.
 * In these logs an upstream server is called a worker.
 */
import { compareLogLines, type LogLine } from './logLines.js'

/** One step of the request, with the latest earlier line of the same VM on each part of its state. */
export interface ExplainedStep {
  readonly line: LogLine
  /** The VM's last change of its view of the worker that the step names. */
  readonly worker: LogLine | undefined
  /** The last announcement of that worker in its responses to the VM. */
  readonly announcement: LogLine | undefined
  /** The VM's last adoption of a configuration. */
  readonly configuration: LogLine | undefined
  /** The VM's last line about its connection to the store. */
  readonly store: LogLine | undefined
  /** The VM's last choice of the source from which it receives its records. */
  readonly source: LogLine | undefined
}

/** The history of a request. */
export interface Explanation {
  readonly requestId: string
  readonly steps: readonly ExplainedStep[]
  /** What the outcome means, and which log lines to look at next. */
  readonly conclusion: string
}

const CONCLUSION_BY_REASON: Readonly<Record<string, string>> = {
  none: 'The VM passed on the answer of a worker.',
  'no-configuration': 'Refused, not run: the VM had just started and had not read a configuration yet. Look for log lines about the store around the start of the VM.',
  'no-route': 'The configuration in force at this VM has no route for the host and path. Compare its version with the newest version.',
  'key-unknown': 'No client account of the configuration in force at this VM has the caller\'s key, or the caller sent no key, several keys or an unreadable key. proofAgeMs is the time since these records were last confirmed to be the newest.',
  'records-stale': 'Refused, not run: this VM could not confirm that its records are fresh enough to accept a key, or to reject a key or a path as unknown (see proofAgeMs). Look at earlier log lines about the store and about the source of the VM\'s records.',
  'no-home': 'Refused, not run: the home regions of the route and those of the client account have no region in common.',
  'quota-spent': 'Refused, not run: none of the VMs that hold shares of the client account\'s quota and answered had any left. If the account sends less than its quota, look for shares that moved to another VM before (claim-share, share-freed).',
  'quota-unknown': 'Refused, not run: a VM that holds a share of the client account\'s quota did not answer, and the others had no quota left. Look for earlier share-freed and share-claimed lines.',
  'head-too-large': 'The request head is larger than the configured limit.',
  'body-too-large': 'The request body is larger than the configured limit.',
  'body-late': 'Refused, not run: the caller did not send the request body in time.',
  'bodies-full': 'Refused, not run: the memory for buffered request bodies was full (because of a burst of uploads, or callers that stall).',
  'no-worker': 'Refused, not run: by the view of the VM, no worker may take it. Look at earlier log lines about workers that join or leave and about evacuations, and at their age.',
  'rate-limited': 'Refused, not run: no worker may take it, some of them only because of the rate limits that they declared (see limit-rate lines). Retry-After says when one of them can accept a request from this VM again.',
  'workers-cooling-down': 'Refused, not run: no worker may take it, some of them only because they asked this VM for a pause (see cool-down-worker lines). Retry-After says when the first pause ends.',
  'too-late': 'Refused, not run: even the best worker was expected to answer after the time limit. See waitMs, held and slowness of the last offers to that service.',
  'priority-yielded': 'Refused, not run: the service had no room, and more urgent requests needed it. The yield-request line has its priority, the part that is admitted of such requests (admittedRatio) and how old the knowledge of other VMs was. See docs/operators/overload.md.',
  'account-over-share': 'Refused, not run: the service had no room, and the client account asked for more than its fair share (accountUse and accountShare of the yield-request line). Other accounts were served first. See docs/operators/overload.md.',
  'workers-refused': 'Refused, not run: the workers that received it reported that they did not run it, because they were full or are leaving.',
  quarantined: 'Refused, not run: workers crashed earlier while they ran this request (quarantine-request lines have its digest and the workers). Find out what in the request crashes them; the quarantine expires by itself.',
  'repeats-spent': 'It may have run and may be retried, but the retry budget was exhausted.',
  'worker-broke': 'A worker broke off or failed it after it may have run. The end of the last offer has the details.',
  'no-answer': 'No answer within the time limit; it may have run. Compare the expected time of the offer with the limit; the worker may be slow, unresponsive or full.',
  'caller-left': 'The caller disconnected before it had received the complete answer.'
}

/**
 * Collects the log lines of one request and those about the state of the VMs while the
 * input is read line by line. All other lines are dropped, so log files may be larger than
 * the memory.
 */
export class RequestExplainer {
  private readonly requestLines: LogLine[] = []
  private readonly stateLines: LogLine[] = []

  /** @param requestId the id of the request to explain */
  constructor (private readonly requestId: string) {}

  /** @param line the next line; lines of any VMs may come in any order */
  add (line: LogLine): void {
    if (line.fields.requestId === this.requestId) this.requestLines.push(line)
    else if (STATE_STEPS.has(line.step)) this.stateLines.push(line)
  }

  /** @returns the request's history, without steps if no line names the request */
  explain (): Explanation {
    this.requestLines.sort(compareLogLines)
    this.stateLines.sort(compareLogLines)
    return {
      requestId: this.requestId,
      steps: this.requestLines.map((line) => this.explainStep(line)),
      conclusion: this.getConclusion()
    }
  }

  private explainStep (line: LogLine): ExplainedStep {
    const worker = line.fields.worker ?? line.fields.peer
    const earlierLines = this.stateLines.filter((stateLine) => stateLine.node === line.node && stateLine.sequence < line.sequence)
    return {
      line,
      worker: earlierLines.findLast(({ fields }) => typeof worker === 'string' && fields.subject === worker),
      announcement: earlierLines.findLast(({ step, fields }) => ANNOUNCEMENT_STEPS.has(step) && fields.peer === worker),
      configuration: earlierLines.findLast(({ fields }) => fields.change === 'document-adopted'),
      store: earlierLines.findLast(({ step }) => step === 'follow-store'),
      source: earlierLines.findLast(({ step }) => step === 'choose-source')
    }
  }

  private getConclusion (): string {
    const endLine = this.requestLines.findLast(({ step }) => step === 'end-request')
    if (endLine === undefined) return this.requestLines.length === 0 ? 'No line names this request: it did not reach an entry VM, or its log lines were dropped.' : 'The request has not ended, or the entry process was killed before it ended.'
    const conclusion = CONCLUSION_BY_REASON[String(endLine.fields.reason)] ?? `The request ended with outcome ${String(endLine.fields.end)}.`
    const isLate = Number(endLine.fields.spanMs) > Number(endLine.fields.goalMs)
    return isLate ? `${conclusion} It took ${String(endLine.fields.spanMs)} ms where ${String(endLine.fields.goalMs)} ms are the goal: compare expectedMs, waitMs and handChance of its offers.` : conclusion
  }
}

/** Log steps that record what a worker announced in a response. */
const ANNOUNCEMENT_STEPS: ReadonlySet<string> = new Set(['drain-worker', 'cool-down-worker'])

/** Log steps that record a change in a VM's state. */
const STATE_STEPS: ReadonlySet<string> = new Set(['update-view', 'follow-store', 'choose-source', ...ANNOUNCEMENT_STEPS])

function formatFields (fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields)
    .filter(([name, value]) => name !== 'requestId' && value !== undefined)
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ')
}

function formatState (name: string, line: LogLine | undefined, requestTime: number): string {
  if (line === undefined) return `    ${name}: no earlier line`
  return `    ${name}: ${line.message}, ${formatFields(line.fields)}; logged ${requestTime - line.time} ms earlier`
}

/**
 * @param explanation a request's history
 * @returns lines for operators
 */
export function formatExplanation ({ requestId, steps, conclusion }: Explanation): string {
  const lines = [`request ${requestId}`]
  for (const { line, worker, announcement, configuration, store, source } of steps) {
    lines.push(`${new Date(line.time).toISOString()} ${line.node} ${line.message} (${line.step})`, `    ${formatFields(line.fields)}`)
    lines.push(formatState('configuration', configuration, line.time), formatState('store', store, line.time))
    if (source !== undefined) lines.push(formatState('records', source, line.time))
    if (worker !== undefined) lines.push(formatState('worker', worker, line.time))
    if (announcement !== undefined) lines.push(formatState('announcement', announcement, line.time))
  }
  return [...lines, conclusion].join('\n')
}
