/**
 * The operators' configuration as an entry VM uses it when it comes whole from
 * the platform's store: routes by host and path, services, client limits. Spans
 * are policy and therefore kept in milliseconds.
 */

/** Whether a request may be repeated. */
export enum RouteKind {
  /** May run more than once. */
  Idempotent = 'idempotent',
  /** Runs at most once. */
  NotIdempotent = 'not-idempotent',
  /** A large body; runs at most once. */
  Upload = 'upload',
  /** A large answer; may run more than once. */
  Download = 'download',
  /** A kind of a newer configuration: nothing is assumed, so it runs at most once. */
  Unknown = 'unknown'
}

/** One service of a route, with its part of the route's requests. */
export interface WeightedService {
  readonly service: string
  /** Relative to the other parts of the route; above 0. */
  readonly weight: number
}

/** What operators want for the requests below one path of a host. */
export interface RoutePolicy {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly prefix: string
  readonly kind: RouteKind
  /** One part or several; weights need not add up to anything. */
  readonly parts: readonly WeightedService[]
  /** The longest time a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number
  /** The time within which an answer is worth most, in milliseconds. */
  readonly goalMs: number
  /** The most workers that one request may be sent to. */
  readonly attempts: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Whether workers answer faster for objects that they handled lately. */
  readonly isSticky: boolean
  /** The regions that alone may serve it; empty if all may. */
  readonly homeRegions: readonly string[]
  /** Whether callers need no key, though there are client accounts. */
  readonly isOpen: boolean
}

/** What a client account may send, all entry VMs together. */
export interface AccountQuota {
  /** Requests a second in the long run. */
  readonly ratePerSecond: number
  /** Requests beyond that at once. */
  readonly burst: number
}

/** One client account. */
export interface AccountPolicy {
  readonly name: string
  /** Digests of the keys that its callers hold; the keys themselves are kept nowhere. */
  readonly keyDigests: readonly string[]
  /** Goes before the priority of the route; 0 is the most urgent. Undefined if it has none. */
  readonly priority: number | undefined
  /** Undefined if it may send without limit. */
  readonly quota: AccountQuota | undefined
  /** The regions that alone may serve it; empty if all may. */
  readonly homeRegions: readonly string[]
}

/** What operators say of a service's workers. */
export interface ServicePolicy {
  readonly name: string
  readonly healthPath: string
  /** Connections that a worker accepts from all entry VMs together. */
  readonly maxConnections: number
  /** How long a worker is cold after its start, in milliseconds. */
  readonly coldMs: number
  /** Requests a second that a cold worker bears from all entry VMs together. */
  readonly coldPerSecond: number
}

/** What callers may send. */
export interface ClientLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  /** How long a caller may take to send a request's head, in milliseconds. */
  readonly headerMs: number
  /** How long a connection may stay idle, in milliseconds. */
  readonly idleMs: number
}

/** One version of the configuration. */
export interface SteeringDocument {
  /** Grows with each change. */
  readonly version: number
  readonly routes: readonly RoutePolicy[]
  readonly services: readonly ServicePolicy[]
  readonly limits: ClientLimits
  /** Undefined where callers need no keys; with an empty list every key is unknown. */
  readonly accounts?: readonly AccountPolicy[] | undefined
}

const RETRYABLE_KINDS: ReadonlySet<RouteKind> = new Set([RouteKind.Idempotent, RouteKind.Download])

/**
 * @param kind a route's kind
 * @returns whether its requests may run more than once
 */
export function isRetryable (kind: RouteKind): boolean {
  return RETRYABLE_KINDS.has(kind)
}
