/** A stand-in for the platform's list of VMs, which lags, goes stale, lies or is down on demand. */
import type { ServerResponse } from 'node:http'
import polka from 'polka'
import type { IClosable } from '@umberspar/base/common/closing'
import type { IClock } from '@umberspar/base/common/clock'
import { SystemClock } from '@umberspar/base/node/systemClock'
import type { VmEntry, VmListSnapshot, VmState } from '@umberspar/steering/common/ports/vmList'
import type { HttpListener } from '../httpListener.js'
import { closeListener, startListener } from '../httpListener.js'
import { waitUntil } from '../waiting.js'
import { LaggingValue } from './upstream/laggingValue.js'

/** What goes wrong with the list. */
export interface VmListFaults {
  /** Connections are broken without an answer. */
  readonly isDown: boolean
  /** Answers wait so long. */
  readonly slowSpanMs: number
  /** The list stands still as it was when this was switched on. */
  readonly isStale: boolean
  /** VMs that are missing from the list although they live. */
  readonly hiddenVmIds: readonly string[]
  /** The list is empty. */
  readonly isEmpty: boolean
}

/** No fault at all. */
export const NO_VM_LIST_FAULTS: VmListFaults = { isDown: false, slowSpanMs: 0, isStale: false, hiddenVmIds: [], isEmpty: false }

/** How a VmListStandIn behaves without faults. */
export interface VmListOptions {
  readonly clock: IClock
  /** Changes appear only after so long, in milliseconds. */
  readonly lagSpanMs: number
  /** The list at the start, seen at once. */
  readonly vms: readonly VmEntry[]
}

const VM_LIST_PATH = '/v1/vms'
const NO_VERSION = 0

/** The stand-in for the platform's list of VMs. */
export class VmListStandIn implements IClosable {
  private readonly options: VmListOptions
  private readonly snapshots: LaggingValue<VmListSnapshot>
  private faults = NO_VM_LIST_FAULTS
  private staleSnapshot: VmListSnapshot | undefined
  private listener: HttpListener | undefined
  private reads = 0

  /** @param options what differs from an empty list without lag */
  constructor (options: Partial<VmListOptions> = {}) {
    this.options = { clock: new SystemClock(), lagSpanMs: 0, vms: [], ...options }
    const { clock, vms } = this.options
    this.snapshots = new LaggingValue<VmListSnapshot>(clock, { version: NO_VERSION + 1, vms })
  }

  /**
   * @param address where to listen; a free port of the loopback interface if left out
   * @returns the URL of the list
   */
  async start (address = '127.0.0.1:0'): Promise<string> {
    const app = polka()
    app.get(VM_LIST_PATH, (_request, response) => { this.answer(response) })
    this.listener = await startListener(app, address)
    return `http://${this.listener.address}${VM_LIST_PATH}`
  }

  /** @returns the list as it truly is now */
  getCurrent (): VmListSnapshot {
    return this.snapshots.get(0)
  }

  /** @returns the list as a reader sees it now */
  getVisible (): VmListSnapshot {
    const seen = this.staleSnapshot ?? this.snapshots.get(this.options.lagSpanMs)
    if (this.faults.isEmpty) return { version: seen.version, vms: [] }
    return { version: seen.version, vms: seen.vms.filter((vm) => !this.faults.hiddenVmIds.includes(vm.vmId)) }
  }

  /** @param vms the whole list from now on */
  setVms (vms: readonly VmEntry[]): void {
    this.snapshots.set({ version: this.getCurrent().version + 1, vms })
  }

  /** @param vm the VM to add, or to replace if its id is listed */
  putVm (vm: VmEntry): void {
    const others = this.getCurrent().vms.filter((entry) => entry.vmId !== vm.vmId)
    this.setVms([...others, vm])
  }

  /** Announces a VM as leaving or as live. */
  setVmState (vmId: string, state: VmState): void {
    this.setVms(this.getCurrent().vms.map((vm) => vm.vmId === vmId ? { ...vm, state } : vm))
  }

  /** Takes a VM out of the list. */
  removeVm (vmId: string): void {
    this.setVms(this.getCurrent().vms.filter((vm) => vm.vmId !== vmId))
  }

  /** @param changes the faults to switch on or off; others stay as they are */
  setFaults (changes: Partial<VmListFaults>): void {
    this.faults = { ...this.faults, ...changes }
    if (!this.faults.isStale) this.staleSnapshot = undefined
    else this.staleSnapshot ??= this.snapshots.get(this.options.lagSpanMs)
  }

  /** Switches every fault off. */
  clearFaults (): void {
    this.setFaults(NO_VM_LIST_FAULTS)
  }

  /** @returns the faults in force */
  getFaults (): VmListFaults {
    return this.faults
  }

  /** @returns how often the list was asked for */
  countReads (): number {
    return this.reads
  }

  /** Stops listening. */
  async close (): Promise<void> {
    const { listener } = this
    this.listener = undefined
    if (listener !== undefined) await closeListener(listener)
  }

  private async answer (response: ServerResponse): Promise<void> {
    this.reads += 1
    const { clock } = this.options
    await waitUntil(clock, clock.now() + this.faults.slowSpanMs)
    if (this.faults.isDown) {
      response.socket?.destroy()
      return
    }
    response.writeHead(200, { 'content-type': 'application/json' })
    response.end(JSON.stringify(this.getVisible()))
  }
}
