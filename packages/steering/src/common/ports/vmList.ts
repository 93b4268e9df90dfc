/** The interface to the platform's list of VMs, which is updated with a delay. */
import type { Deadline } from '@umberspar/base/common/deadline'
import type { StepError } from '@umberspar/base/common/errors'
import type { IClosable } from '@umberspar/base/common/closing'
import type { Result } from '@umberspar/base/common/result'

/** What a VM is used for. */
export enum VmRole {
  /** Runs one daemon (umberspard). */
  Entry = 'entry',
  /** Runs upstream workers and no part of this system. */
  Upstream = 'upstream'
}

/** The state of a VM according to the platform. */
export enum VmState {
  Live = 'live',
  /** The VM is about to be removed and gets no new requests. */
  Leaving = 'leaving'
}

/** One VM in the platform's list. */
export interface VmEntry {
  readonly vmId: string
  readonly role: VmRole
  readonly state: VmState
  readonly region: string
  readonly failureDomain: string
  /** For entry VMs, `host:port` of the listener for callers; for upstream VMs, `host:port` of the worker. */
  readonly address: string
  /** For entry VMs only, `host:port` of the listener for peers. */
  readonly peerAddress?: string
  /** For entry VMs only, `host:port` of the listener for operators. */
  readonly operatorAddress?: string
}

/** The platform's list at one point in time. */
export interface VmListSnapshot {
  /** Increases with every change. */
  readonly version: number
  readonly vms: readonly VmEntry[]
}

/** Access to the platform's list of live and leaving VMs. */
export interface IVmList extends IClosable {
  /** Fetches the current list. */
  fetch(deadline: Deadline): Promise<Result<VmListSnapshot, StepError>>
}
