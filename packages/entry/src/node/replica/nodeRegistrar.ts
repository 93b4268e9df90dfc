/** Registers this entry VM, with the version of its configuration. */
import type { EntryNode } from '@umberspar/steering/common/entry/records'
import type { INodeRegistration } from '@umberspar/steering/common/ports/steeringSource'

/** The registration of one process. */
export class NodeRegistrar {
  private isRegistered = false
  private isWithdrawn = false

  /**
   * @param registration keeps the record in the store
   * @param node the description of this VM
   */
  constructor (private readonly registration: INodeRegistration, private node: EntryNode) {}

  /**
   * Registers this VM as soon as it has read the records, even before it has a configuration, so that
   * VMs that start at the same time can find each other.
   */
  register (): void {
    if (this.isRegistered || this.isWithdrawn) return
    this.isRegistered = true
    this.registration.register(this.node)
  }

  /** Registers this VM after its record has disappeared. */
  registerAgain (): void {
    this.isRegistered = false
    this.register()
  }

  /**
   * @param version the version of the configuration in force
   * @param isUnconfirmed whether the store holds an older one, so that VMs that start later learn of it from registrations only
   */
  setConfigurationVersion (version: number, isUnconfirmed: boolean): void {
    this.node = { ...this.node, configurationVersion: version }
    if (this.isRegistered && !this.isWithdrawn) this.registration.update(this.node, isUnconfirmed)
  }

  /** Removes the record for good. */
  withdraw (): void {
    this.isWithdrawn = true
    this.registration.withdraw()
  }
}
