/** Decides whether this entry VM is ready, and which entry VMs look-ups may name. */
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import type { EntryNode } from '@umberspar/steering/common/entry/records'

/** The state of this process that decides whether it serves callers. */
export interface ServingState {
  /** Whether the process is draining before it stops. */
  isDraining(): boolean
  /** Whether the records are recent enough to admit callers by their keys. */
  canAdmitKeys(): boolean
}

/** Whether a VM serves callers, or what it waits for. */
export enum Readiness {
  Ready = 'ready',
  Draining = 'draining',
  /** No configuration has been read, or another VM has a newer one. */
  NoConfiguration = 'no-configuration',
  /** Callers have keys, and the records are not proven to be recent enough to admit them. */
  NoProof = 'no-proof',
  /** No worker is known that takes requests. */
  NoWorker = 'no-worker'
}

/** The entry VMs that serve callers, as far as this one knows. */
export class ServingNodes {
  /**
   * @param view the records
   * @param self this entry VM
   * @param state the state of this process
   */
  constructor (
    private readonly view: EntryView,
    private readonly self: EntryNode,
    private readonly state: ServingState
  ) {}

  /** @returns whether this VM serves callers */
  isReady (): boolean {
    return this.getReadiness() === Readiness.Ready
  }

  /** @returns whether this VM serves callers, or what it waits for */
  getReadiness (): Readiness {
    if (this.state.isDraining()) return Readiness.Draining
    if (this.view.newestDocument === undefined) return Readiness.NoConfiguration
    if (!this.state.canAdmitKeys()) return Readiness.NoProof
    for (const { isDraining } of this.view.listTrackers()) {
      if (!isDraining) return Readiness.Ready
    }
    return Readiness.NoWorker
  }

  /** @returns the registered VMs; whether this VM is listed depends on its own state, as its record in the store may lag behind */
  list (): EntryNode[] {
    // Without a configuration, the other VMs have none either, or this VM's records are too incomplete to choose among them.
    if (this.view.document === undefined) return []
    const others = [...this.view.nodes.values()].filter(({ name }) => name !== this.self.name)
    return this.isReady() ? [...others, this.self] : others
  }
}
