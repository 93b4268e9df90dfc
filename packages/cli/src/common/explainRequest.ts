/**
 * One request's history from the log lines of all entry VMs, with what each of
 * them believed at the time, and what follows from its end.
 */
import { compareLogLines, type LogLine } from './logLines.js'

/** One step of the request. */
export interface ExplainedStep {
  readonly line: LogLine
  /** What the same VM had last told of the worker that the step names. */
  readonly worker: LogLine | undefined
  /** The configuration that the same VM had last adopted. */
  readonly configuration: LogLine | undefined
  /** What the same VM had last told of the store. */
  readonly store: LogLine | undefined
  /** What the same VM had last told of the way that its records take. */
  readonly source: LogLine | undefined
}

/** The history. */
export interface Explanation {
  readonly requestId: string
  readonly steps: readonly ExplainedStep[]
  /** What follows from how it ended. */
  readonly conclusion: string
}

const CONCLUSION_BY_REASON: Readonly<Record<string, string>> = {
  none: 'A worker\'s own answer was passed on.',
  'no-configuration': 'Refused, not run: the VM had just started and had read no configuration yet. Look for the store\'s lines around its start.',
  'no-route': 'The configuration in force at this VM has no route for the host and path. Compare its version with the newest.',
  'key-unknown': 'No client account of the configuration in force at this VM holds the caller\'s key, or the caller sent none, several, or one that cannot be read. proofAgeMs tells how long ago these records were surely the newest.',
  'records-stale': 'Refused, not run: this VM could not prove that its records are new enough to let a key run, or to say that a key or a path is unknown (proofAgeMs). Look at the lines on the store and on the way of its records before it.',
  'no-home': 'Refused, not run: the homes of the route and of the client account have no region in common.',
  'quota-spent': 'Refused, not run: all keepers of the client account\'s quota that answered had nothing left. If the account sends less than its quota, look for keepers that changed (claim-share, share-freed) before it.',
  'quota-unknown': 'Refused, not run: a keeper of the account\'s quota did not answer and the others had nothing left. Look for share-freed and share-claimed lines before it.',
  'head-too-large': 'The head is longer than the operator allows.',
  'body-too-large': 'The body is longer than the operator allows.',
  'body-late': 'Refused, not run: the caller did not send its body in time.',
  'bodies-full': 'Refused, not run: bodies in memory are at their bound (a burst of uploads, or callers that stall).',
  'no-worker': 'Refused, not run: the VM believed that no worker may take it. Look at the lines on workers joining, leaving and evacuations before it, and at their age.',
  'rate-limited': 'Refused, not run: no worker may take it, and some only because of the rate limits that they name (limit-rate lines). Retry-After tells when one has room for this VM.',
  'too-late': 'Refused, not run: the best worker was expected to answer after the time limit. Its wait, held requests and slowness stand on the last offers to that service.',
  'workers-refused': 'Refused, not run: the workers that got it said that they did not run it; they were full, or are leaving.',
  quarantined: 'Refused, not run: workers crashed under this request before (quarantine-request lines name its digest and the workers). Find out what in it crashes them; the quarantine ends by itself.',
  'repeats-spent': 'It may have run and may be repeated, but the budget for repeats was spent.',
  'worker-broke': 'A worker broke off or failed it after it may have run. The end of its last offer says how.',
  'no-answer': 'No answer within the time limit; it may have run. Compare the offer\'s expected time with the limit: a worker that is slow, dark or full.',
  'caller-left': 'The caller left before the answer was whole.'
}

/**
 * Gathers what concerns one request while lines are read one by one, so that files
 * of any length can be read.
 */
export class RequestExplainer {
  private readonly requestLines: LogLine[] = []
  private readonly stateLines: LogLine[] = []

  /** @param requestId whose history is told */
  constructor (private readonly requestId: string) {}

  /** @param line the next line, of any VM, in any order among VMs */
  add (line: LogLine): void {
    if (line.fields.requestId === this.requestId) this.requestLines.push(line)
    else if (STATE_STEPS.has(line.step)) this.stateLines.push(line)
  }

  /** @returns the history; without steps if no line names the request */
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
      configuration: earlierLines.findLast(({ fields }) => fields.change === 'document-adopted'),
      store: earlierLines.findLast(({ step }) => step === 'follow-store'),
      source: earlierLines.findLast(({ step }) => step === 'choose-source')
    }
  }

  private getConclusion (): string {
    const end = this.requestLines.findLast(({ step }) => step === 'end-request')
    if (end === undefined) return this.requestLines.length === 0 ? 'No line names this request: it reached no entry VM, or its lines were dropped.' : 'It has not ended, or its process was killed before it did.'
    const conclusion = CONCLUSION_BY_REASON[String(end.fields.reason)] ?? `It ended as ${String(end.fields.end)}.`
    const isLate = Number(end.fields.spanMs) > Number(end.fields.goalMs)
    return isLate ? `${conclusion} It took ${String(end.fields.spanMs)} ms where ${String(end.fields.goalMs)} ms are the goal: compare expectedMs, waitMs and handChance of its offers.` : conclusion
  }
}

const STATE_STEPS: ReadonlySet<string> = new Set(['update-view', 'follow-store', 'choose-source'])

function formatFields (fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields)
    .filter(([name, value]) => name !== 'requestId' && value !== undefined)
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ')
}

function formatState (name: string, line: LogLine | undefined, requestTime: number): string {
  if (line === undefined) return `    ${name}: nothing told before`
  return `    ${name}: ${line.message}, ${formatFields(line.fields)}, told ${requestTime - line.time} ms earlier`
}

/**
 * @param explanation a request's history
 * @returns it as text
 */
export function formatExplanation ({ requestId, steps, conclusion }: Explanation): string {
  const lines = [`request ${requestId}`]
  for (const { line, worker, configuration, store, source } of steps) {
    lines.push(`${new Date(line.time).toISOString()} ${line.node} ${line.message} (${line.step})`, `    ${formatFields(line.fields)}`)
    lines.push(formatState('configuration', configuration, line.time), formatState('store', store, line.time))
    if (source !== undefined) lines.push(formatState('records', source, line.time))
    if (worker !== undefined) lines.push(formatState('worker', worker, line.time))
  }
  return [...lines, conclusion].join('\n')
}
