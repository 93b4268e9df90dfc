/**
 * Whether a request may run by records that may be stale.
 *
 * A VM that is cut off does not hear that a key was taken away or that homes have
 * changed, and no request shows it that it is cut off. So requests with a key, and those
 * that only some regions may serve, run only under a freshness lease: while the records
 * are proven to have been the newest a short time ago. Requests without either run by
 * records of any age. What stale records do not know is not denied but refused.
 */
import type { AccountTable } from './accountTable.js'
import type { AccountPolicy, RoutePolicy } from './steeringDocument.js'

/** How old the proof of the records may be. */
export interface AccessBounds {
  /** For a request to run, in milliseconds. */
  readonly runWithinMs: number
  /** For a key or a route to be called unknown, in milliseconds. */
  readonly denyWithinMs: number
  /** For a request to run that only some regions may serve, in milliseconds. */
  readonly homeWithinMs: number
}

/** What is decided by. */
export interface AccessRequest {
  /** Undefined where callers need no keys. */
  readonly accounts: AccountTable | undefined
  readonly route: RoutePolicy
  /** Digest of the caller's key; undefined if it sent none that can be read. */
  readonly keyDigest: string | undefined
  /** How long ago the records were surely the newest, in milliseconds. */
  readonly proofAgeMs: number
}

/** How it is decided. */
export enum AccessEnd {
  Allowed = 'allowed',
  /** No account holds the key, by records that are new enough to say so. */
  KeyUnknown = 'key-unknown',
  /** The records are too old to tell. */
  RecordsStale = 'records-stale'
}

/** What was decided. */
export interface Access {
  readonly end: AccessEnd
  /** The caller's account; undefined where the route needs none or it is not known. */
  readonly account?: AccountPolicy | undefined
}

/**
 * @param request what is decided by
 * @param bounds how old the proof of the records may be
 * @returns whether the request may run, and for which account
 */
export function decideAccess (request: AccessRequest, bounds: AccessBounds): Access {
  const { accounts, route, keyDigest, proofAgeMs } = request
  const account = keyDigest === undefined ? undefined : accounts?.findByDigest(keyDigest)
  const hasHomes = route.homeRegions.length > 0 || (account !== undefined && account.homeRegions.length > 0)
  if (hasHomes && proofAgeMs > bounds.homeWithinMs) return { end: AccessEnd.RecordsStale }
  return accounts === undefined ? { end: AccessEnd.Allowed } : decideKey(request, account, bounds)
}

function decideKey ({ route, proofAgeMs }: AccessRequest, account: AccountPolicy | undefined, { runWithinMs: maxAgeToRunMs, denyWithinMs: maxAgeToDenyMs }: AccessBounds): Access {
  const mayRun = proofAgeMs <= maxAgeToRunMs
  if (route.isOpen) return { end: AccessEnd.Allowed, account: mayRun ? account : undefined }
  if (account !== undefined) return mayRun ? { end: AccessEnd.Allowed, account } : { end: AccessEnd.RecordsStale }
  return { end: proofAgeMs <= maxAgeToDenyMs ? AccessEnd.KeyUnknown : AccessEnd.RecordsStale }
}
