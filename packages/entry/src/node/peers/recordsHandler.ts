/** Answers entry VMs that the store does not answer. */
import type { VouchedSnapshot } from './vouchedSnapshot.js'
import type { PathHandler } from '../lookup/questionServer.js'

/**
 * A peer that is up to date gets no records, only (304) that this VM vouches for
 * its revision; 204 says that this VM knows no better itself.
 * @param readSnapshot what this VM knows
 * @returns what answers peers
 */
export function createRecordsHandler (readSnapshot: () => VouchedSnapshot): PathHandler {
  return (query) => {
    const snapshot = readSnapshot()
    const after = Number(query.get('after') ?? 0)
    if (!snapshot.isVouched || snapshot.revision < after) return { status: 204, contentType: 'text/plain', body: '' }
    if (snapshot.revision === after) return { status: 304, contentType: 'text/plain', body: '' }
    return { status: 200, contentType: 'application/json', body: JSON.stringify(snapshot) }
  }
}
