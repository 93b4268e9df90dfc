/** The client accounts of a soak run: that of the regular callers, and that of the guests, whose API keys are revoked and restored. */

/** How long after its revocation an API key may still be accepted; also set in the entry processes' settings. */
export const MAX_REVOCATION_MS = 3_000

/** Account of all regular callers. Its quota exceeds their traffic, so entry VMs divide it among themselves but never exhaust it; the routes' priorities count. */
export const CALLER_ACCOUNT = { Name: 'callers', ApiKeys: ['key-of-the-callers'], RatePerS: 2_000, Burst: 2_000, Priority: null }
/** Account that sends many times its usual requests now and then. Its quota doesn't limit it, its fair share does. */
export const GREEDY_ACCOUNT = { ...CALLER_ACCOUNT, Name: 'greedy', ApiKeys: ['key-of-the-greedy'] }
/** Account whose API keys are revoked and restored during the run. */
export const GUEST_ACCOUNT = { Name: 'guests', ApiKeys: ['key-of-the-guests'] }

/** @returns the `Authorization` header of an account's callers */
export function formatAuthorization ({ ApiKeys: [key] }: { readonly ApiKeys: readonly string[] }): string {
  return `Bearer ${key}`
}
