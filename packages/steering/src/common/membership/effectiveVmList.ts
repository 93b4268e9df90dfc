/**
 * Computes the effective VM list from the platform's VM list, which is delayed, may
 * come from a stale replica, and may be wrong. A VM that is missing from the platform's
 * list is removed only after a hold time, and not at all while its daemon responds. If
 * most VMs disappear at once, the hold time is longer, because a fault of the list is
 * then more likely than a fault of the VMs.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import type { VmEntry, VmListSnapshot } from '../ports/vmList.js'

/** How long a VM stays in the effective list after it disappears from the platform's list. */
export const MISSING_VM_HOLD_MS = 10_000
/** The same, if most VMs disappear at once. */
export const SHRUNK_LIST_HOLD_MS = 120_000
/** If the platform's list has an older version for this long, its version counter was reset, and the list is accepted again. */
export const VERSION_RESET_DELAY_MS = 60_000
/** If more than this fraction of the VMs is missing, {@link SHRUNK_LIST_HOLD_MS} applies. */
const SHRUNK_LIST_RATIO = 0.5

/** A VM of the effective list; `dropAt` is set while it is missing from the platform's list. */
export interface EffectiveVm {
  readonly vm: VmEntry
  readonly dropAt: Deadline | undefined
}

/** The effective VM list. */
export interface EffectiveVmList {
  /** The version of the last accepted list of the platform; -1 before the first. */
  readonly version: number
  readonly vms: ReadonlyMap<string, EffectiveVm>
  /** While the platform's list has a lower version: when that list is accepted anyway. */
  readonly resetAt: Deadline | undefined
}

/** The effective list before the platform's first list. */
export const EMPTY_EFFECTIVE_VM_LIST: EffectiveVmList = { version: -1, vms: new Map(), resetAt: undefined }

/** The input of an update besides the platform's list. */
export interface VmListUpdateInput {
  readonly now: Instant
  /** @returns whether the VM's daemon currently responds: reports of it have arrived, and it isn't suspected */
  readonly isResponding: (vmId: string) => boolean
}

function mergeVms (effective: EffectiveVmList, listed: ReadonlyMap<string, VmEntry>, input: VmListUpdateInput): Map<string, EffectiveVm> {
  const missingIds = [...effective.vms.keys()].filter((vmId) => !listed.has(vmId))
  const holdMs = missingIds.length > effective.vms.size * SHRUNK_LIST_RATIO ? SHRUNK_LIST_HOLD_MS : MISSING_VM_HOLD_MS
  const vms = new Map<string, EffectiveVm>([...listed].map(([vmId, vm]) => [vmId, { vm, dropAt: undefined }]))
  for (const vmId of missingIds) {
    const known = effective.vms.get(vmId)
    if (known === undefined) continue
    const dropAt = known.dropAt ?? createDeadline(input.now, holdMs)
    if (!hasPassed(dropAt, input.now) || input.isResponding(vmId)) vms.set(vmId, { vm: known.vm, dropAt })
  }
  return vms
}

/**
 * Applies one response of the platform's list to the effective list.
 * @param effective the effective list so far
 * @param snapshot the response, with entry VMs only
 * @param input the current time, and which daemons respond
 * @returns the updated effective list
 */
export function updateEffectiveVmList (effective: EffectiveVmList, snapshot: VmListSnapshot, input: VmListUpdateInput): EffectiveVmList {
  // A stale replica would bring back VMs that are gone and hide new ones, so an older
  // version is ignored. A list whose version counter was reset would then be ignored
  // forever, so an older version is accepted after a delay.
  if (snapshot.version < effective.version) {
    const resetAt = effective.resetAt ?? createDeadline(input.now, VERSION_RESET_DELAY_MS)
    if (!hasPassed(resetAt, input.now)) return { ...effective, resetAt }
  }
  const listed = new Map(snapshot.vms.map((vm) => [vm.vmId, vm]))
  return { version: snapshot.version, vms: mergeVms(effective, listed, input), resetAt: undefined }
}
