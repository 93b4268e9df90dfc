/** The client accounts of a soak run: one that all callers belong to, and one whose keys come and go. */

/** Within which a key that was taken away must run nothing more, in milliseconds; entry processes are set to it. */
export const REVOKE_MS = 3_000

/** All callers belong to it; its quota is above what they send, so that it is shared out and never used up. */
export const CALLERS = { Name: 'callers', ApiKeys: ['key-of-the-callers'], RatePerS: 2_000, Burst: 2_000 }
/** Whose keys are taken away and given again. */
export const GUESTS = { Name: 'guests', ApiKeys: ['key-of-the-guests'] }

/** What callers and guests send. */
export const CALLERS_AUTHORIZATION = `Bearer ${CALLERS.ApiKeys[0]}`
export const GUESTS_AUTHORIZATION = `Bearer ${GUESTS.ApiKeys[0]}`
