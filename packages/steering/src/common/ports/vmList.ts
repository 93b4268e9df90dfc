/** The port to the platform's list of VMs, which lags behind what happens. */
import type { Deadline } from '@umberspar/base/common/deadline'
import type { StepError } from '@umberspar/base/common/errors'
import type { IClosable } from '@umberspar/base/common/closing'
import type { Result } from '@umberspar/base/common/result'

/** What a VM serves as. */
export enum VmRole {
  /** Runs one umberspard. */
  Entry = 'entry',
  /** Runs upstream workers; nothing of umberspar. */
  Upstream = 'upstream'
}

/** What the platform says of a VM. */
export enum VmState {
  Live = 'live',
  /** Announced to go: it gets no new work. */
  Leaving = 'leaving'
}

/** One VM of the platform's list. */
export interface VmEntry {
  readonly vmId: string
  readonly role: VmRole
  readonly state: VmState
  readonly region: string
  readonly failureDomain: string
  /** Entry VMs: `host:port` of the callers' listener. Upstream VMs: `host:port` of the worker. */
  readonly address: string
  /** Entry VMs only: `host:port` of the peers' listener. */
  readonly peerAddress?: string
  /** Entry VMs only: `host:port` of the operators' listener. */
  readonly operatorAddress?: string
}

/** The list as it stood at the platform. */
export interface VmListSnapshot {
  /** Grows with every change the platform knows of. */
  readonly version: number
  readonly vms: readonly VmEntry[]
}

/** The platform's list of live and leaving VMs. */
export interface IVmList extends IClosable {
  /** Reads the list as the platform has it now. */
  fetch(deadline: Deadline): Promise<Result<VmListSnapshot, StepError>>
}
