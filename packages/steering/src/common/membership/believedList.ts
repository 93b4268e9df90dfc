/**
 * How far to believe the platform's VM list. It lags, may come from a replica that
 * is behind, and may be wrong: a VM that is missing from it is dropped only after a
 * hold, and while its daemon is still heard it is not dropped at all. A list
 * that loses most of its VMs at once is held longer, since a fault of the list is
 * then more likely than a fault of the VMs.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { VmEntry, VmListSnapshot } from '../ports/vmList.js'

/** How long a VM that is missing from the list is still counted. */
export const MISSING_HOLD_SPAN_MS = 10_000
/** The same if most VMs went missing at once. */
export const SHRUNK_HOLD_SPAN_MS = 120_000
/** A list that answers with an older version for so long was reset, and is believed again. */
export const RESET_HOLD_SPAN_MS = 60_000
/** A list that has lost more than this part of the VMs is held longer. */
const SHRUNK_PART = 0.5

/** One VM and, if the list lacks it, until when it is still counted. */
export interface BelievedVm {
  readonly vm: VmEntry
  readonly dropAt: Deadline | undefined
}

/** What is believed of the list. */
export interface BelievedList {
  /** The highest version seen; -1 before the first list. */
  readonly version: number
  readonly vms: ReadonlyMap<string, BelievedVm>
  /** While the list answers with a lower version: when to believe it after all. */
  readonly resetAt: Deadline | undefined
}

/** Nothing has been listed yet. */
export const EMPTY_BELIEVED_LIST: BelievedList = { version: -1, vms: new Map(), resetAt: undefined }

/** What a step goes by besides the list. */
export interface ListStepInput {
  readonly now: Instant
  /** @returns whether the VM's daemon is heard of at present */
  readonly isHeard: (vmId: string) => boolean
}

function mergeVms (believed: BelievedList, listed: ReadonlyMap<string, VmEntry>, input: ListStepInput): Map<string, BelievedVm> {
  const missing = [...believed.vms.keys()].filter((vmId) => !listed.has(vmId))
  const spanMs = missing.length > believed.vms.size * SHRUNK_PART ? SHRUNK_HOLD_SPAN_MS : MISSING_HOLD_SPAN_MS
  const vms = new Map<string, BelievedVm>([...listed].map(([vmId, vm]) => [vmId, { vm, dropAt: undefined }]))
  for (const vmId of missing) {
    const known = believed.vms.get(vmId)
    if (known === undefined) continue
    const dropAt = known.dropAt ?? createDeadline(input.now, spanMs)
    if (!hasPassed(dropAt, input.now) || input.isHeard(vmId)) vms.set(vmId, { vm: known.vm, dropAt })
  }
  return vms
}

/**
 * Takes in one answer of the list.
 * @param believed what was believed
 * @param snapshot the answer; entry VMs only
 * @param input the present, and whose daemons are heard
 * @returns what is believed now
 */
export function stepBelievedList (believed: BelievedList, snapshot: VmListSnapshot, input: ListStepInput): BelievedList {
  // A replica that lags would bring back VMs that are gone and hide new ones. But
  // a list whose count began anew would be ignored for ever, so this ends as well.
  if (snapshot.version < believed.version) {
    const resetAt = believed.resetAt ?? createDeadline(input.now, RESET_HOLD_SPAN_MS)
    if (!hasPassed(resetAt, input.now)) return { ...believed, resetAt }
  }
  const listed = new Map(snapshot.vms.map((vm) => [vm.vmId, vm]))
  return { version: snapshot.version, vms: mergeVms(believed, listed, input), resetAt: undefined }
}
