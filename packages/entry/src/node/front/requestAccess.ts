/** Whether, and in which regions, a request may run by the records in force. */
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import { computeHomeRegions } from '@umberspar/steering/common/entry/accountTable'
import { AccessOutcome } from '@umberspar/steering/common/entry/decideAccess'
import { EndReason } from '../telemetry/requestOutcomes.js'
import type { AcceptedRequest, BufferedRequest } from './bufferedRequest.js'
import type { EntryContext } from './entryContext.js'
import { REASON_BY_DENIAL } from './refusals.js'

/**
 * @param request the request; before its body is read, it can't be told whether it is quarantined
 * @returns the regions that may serve the request, empty if all may; or why it may not run
 */
export function checkAccess ({ accessController, quarantine }: EntryContext, { route, keyDigest, digest }: AcceptedRequest & Partial<BufferedRequest>): Result<readonly string[], EndReason> {
  const { outcome, account } = accessController.decide(route, keyDigest)
  if (outcome !== AccessOutcome.Allowed) return Err(REASON_BY_DENIAL[outcome])
  if (digest !== undefined && quarantine.getBlockedMs(digest) > 0) return Err(EndReason.Quarantined)
  const homeRegions = computeHomeRegions(route, account)
  return homeRegions === undefined ? Err(EndReason.NoHomeRegion) : Ok(homeRegions)
}
