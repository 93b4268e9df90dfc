/**
 * How a request is relayed to another entry VM: its target stands behind a path of the peer listener, and two
 * fields of the same name tell the VMs about each other. Neither field is sent to a worker or a caller.
 */

/** The path of the peer listener that precedes the target of a relayed request. A VM that doesn't know the path has not run the request. */
export const RELAY_PATH = '/v1/relay'
/** The field's name, in lower case. */
export const RELAY_FIELD = 'umberspar-relay'

/** What a response tells about a relayed request. */
export enum RelayOutcome {
  /** A worker responded, or the request may have run. */
  Answered = 'answered',
  /** The VM took the request, and refused it: it has not run and will not. */
  Refused = 'refused',
  /** The VM can't take the request: it has not run, and another VM may take it. */
  Unable = 'unable'
}

/** What the relaying VM tells about a request. */
export interface RelayOrigin {
  /** Number of times that it was sent to a worker before. */
  readonly attempts: number
  /** The service that was chosen for it. */
  readonly service: string
  /** Ids of workers that must not get it as far as the relaying VM knows: they drain, asked for a pause, or are in an evacuated failure domain. */
  readonly excludedWorkers: readonly string[]
}

/** What a worker announced to the VM that sent it a relayed request. */
export interface WorkerAnnouncement {
  readonly worker: string
  readonly isDraining: boolean
  /** How much longer it wants no requests, in milliseconds; 0 if it asked for no pause. */
  readonly coolDownMs: number
}

/** What became of a relayed request. */
export interface RelayResult {
  readonly outcome: RelayOutcome
  readonly announcements: readonly WorkerAnnouncement[]
}

/** Limit on the workers that are named in a field, to bound its length. */
const MAX_WORKERS = 64
const DRAINING_MARK = 'draining'
const ORIGIN = /^(\d{1,3}) (\S+)(?: (\S+))?$/
const OUTCOMES: ReadonlySet<string> = new Set(Object.values(RelayOutcome))

/** @returns the field's value in a request */
export function formatRelayOrigin ({ attempts, service, excludedWorkers }: RelayOrigin): string {
  const workers = excludedWorkers.slice(0, MAX_WORKERS).map(encodeURIComponent).join(',')
  return `${attempts} ${encodeURIComponent(service)}${workers === '' ? '' : ` ${workers}`}`
}

/**
 * @param value the field's value in a request
 * @returns what it tells; undefined if it is missing or invalid
 */
export function parseRelayOrigin (value: string | undefined): RelayOrigin | undefined {
  const [, attempts, service, workers] = ORIGIN.exec(value ?? '') ?? []
  if (attempts === undefined || service === undefined) return undefined
  return { attempts: Number(attempts), service: decodePart(service), excludedWorkers: workers?.split(',').map(decodePart) ?? [] }
}

/** @returns the field's value in a response */
export function formatRelayResult ({ outcome, announcements }: RelayResult): string {
  const parts = announcements.map(({ worker, isDraining, coolDownMs }) => `${encodeURIComponent(worker)}=${isDraining ? DRAINING_MARK : Math.ceil(coolDownMs)}`)
  return [outcome, ...parts].join(' ')
}

/**
 * @param value the field's value in a response
 * @returns what it tells; {@link RelayOutcome.Unable} if it is missing, as the response then doesn't come from a relay
 */
export function parseRelayResult (value: string | undefined): RelayResult {
  const [outcome = '', ...parts] = (value ?? '').split(' ')
  if (!OUTCOMES.has(outcome)) return { outcome: RelayOutcome.Unable, announcements: [] }
  const announcements = parts.map((part) => part.split('=')).map(([worker = '', text = '']) => ({ worker: decodePart(worker), isDraining: text === DRAINING_MARK, coolDownMs: Number(text) || 0 }))
  return { outcome: outcome as RelayOutcome, announcements }
}

function decodePart (text: string): string {
  try {
    return decodeURIComponent(text)
  } catch {
    // Not encoded by an entry VM; it then names no service and no worker.
    return text
  }
}
