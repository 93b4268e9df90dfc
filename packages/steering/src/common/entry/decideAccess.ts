/**
 * Decides whether a request may run when the records may be stale.
 *
 * A VM that is cut off doesn't learn that a key was revoked or that home regions have changed,
 * and no request tells it that it is cut off. So requests with a key, and those restricted to
 * home regions, run only under a freshness lease: while it is proven that the records were
 * current a short time ago. Other requests run whatever the age of the records. A key or route
 * that is missing from stale records is not reported as unknown; the request is refused
 * because the records are stale.
 */
import type { AccountTable } from './accountTable.js'
import type { AccountPolicy, RoutePolicy } from './steeringDocument.js'

/** Limits on the age of the freshness proof. */
export interface AccessBounds {
  /** Limit for running a request, in milliseconds. */
  readonly maxAgeToRunMs: number
  /** Limit for reporting a key or a route as unknown, in milliseconds. */
  readonly maxAgeToDenyMs: number
  /** Limit for running a request restricted to home regions, in milliseconds. */
  readonly maxAgeToRunHomedMs: number
}

/** The facts that the decision depends on. */
export interface AccessRequest {
  /** The client accounts; undefined where callers need no keys. */
  readonly accounts: AccountTable | undefined
  readonly route: RoutePolicy
  /** Digest of the caller's key; undefined if it sent none or an unreadable one. */
  readonly keyDigest: string | undefined
  /** Time since the records were last proven to be current, in milliseconds. */
  readonly proofAgeMs: number
}

/** Outcome of the decision. */
export enum AccessOutcome {
  Allowed = 'allowed',
  /** No account holds the key, and the records are recent enough to say so. */
  KeyUnknown = 'key-unknown',
  /** The records are too old to decide. */
  RecordsStale = 'records-stale'
}

/** The decision. */
export interface AccessDecision {
  readonly outcome: AccessOutcome
  /** The caller's account; undefined where the route needs none or the account is not known. */
  readonly account?: AccountPolicy | undefined
}

/**
 * @param request the request
 * @param bounds limits on the age of the freshness proof
 * @returns whether the request may run, and for which account
 */
export function decideAccess (request: AccessRequest, bounds: AccessBounds): AccessDecision {
  const { accounts, route, keyDigest, proofAgeMs } = request
  const account = keyDigest === undefined ? undefined : accounts?.findByDigest(keyDigest)
  const hasHomes = route.homeRegions.length > 0 || (account !== undefined && account.homeRegions.length > 0)
  if (hasHomes && proofAgeMs > bounds.maxAgeToRunHomedMs) return { outcome: AccessOutcome.RecordsStale }
  return accounts === undefined ? { outcome: AccessOutcome.Allowed } : decideKey(request, account, bounds)
}

function decideKey ({ route, proofAgeMs }: AccessRequest, account: AccountPolicy | undefined, { maxAgeToRunMs, maxAgeToDenyMs }: AccessBounds): AccessDecision {
  const mayRun = proofAgeMs <= maxAgeToRunMs
  if (route.isOpen) return { outcome: AccessOutcome.Allowed, account: mayRun ? account : undefined }
  if (account !== undefined) return mayRun ? { outcome: AccessOutcome.Allowed, account } : { outcome: AccessOutcome.RecordsStale }
  return { outcome: proofAgeMs <= maxAgeToDenyMs ? AccessOutcome.KeyUnknown : AccessOutcome.RecordsStale }
}
