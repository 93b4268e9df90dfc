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
}

/** What became of a relayed request. */
export interface RelayResult {
  readonly outcome: RelayOutcome
  /** The worker whose response this is; undefined if it is the VM's own. */
  readonly worker?: string | undefined
}

const ORIGIN = /^(\d{1,3}) (.+)$/
const OUTCOMES: ReadonlySet<string> = new Set(Object.values(RelayOutcome))

/** @returns the field's value in a request */
export function formatRelayOrigin ({ attempts, service }: RelayOrigin): string {
  return `${attempts} ${encodeURIComponent(service)}`
}

/**
 * @param value the field's value in a request
 * @returns what it tells; undefined if it is missing or invalid
 */
export function parseRelayOrigin (value: string | undefined): RelayOrigin | undefined {
  const match = ORIGIN.exec(value ?? '')
  return match === null ? undefined : { attempts: Number(match[1]), service: decodePart(match[2]!) }
}

/** @returns the field's value in a response */
export function formatRelayResult ({ outcome, worker }: RelayResult): string {
  return worker === undefined ? outcome : `${outcome} ${encodeURIComponent(worker)}`
}

/**
 * @param value the field's value in a response
 * @returns what it tells; {@link RelayOutcome.Unable} if it is missing, as the response then doesn't come from a relay
 */
export function parseRelayResult (value: string | undefined): RelayResult {
  const [outcome = '', worker] = (value ?? '').split(' ')
  if (!OUTCOMES.has(outcome)) return { outcome: RelayOutcome.Unable }
  return { outcome: outcome as RelayOutcome, worker: worker === undefined ? undefined : decodePart(worker) }
}

function decodePart (text: string): string {
  try {
    return decodeURIComponent(text)
  } catch {
    // Not encoded by an entry VM; it then names no service and no worker.
    return text
  }
}
