/** Lists that follow from the known entry VMs, built again after a change only: a fleet that starts changes hundreds of times. */
import type { EntryNode, FleetMember } from './records.js'

/** The lists of one view. */
export class EntryNodeLists {
  private sortedNames: readonly string[] | undefined
  private nodesWithDomains: readonly FleetMember[] | undefined
  private newestRegisteredVersion: number | undefined

  /**
   * @param self this VM's name
   * @param domain this VM's failure domain
   * @param nodes the registered entry VMs; this one may be missing
   */
  constructor (private readonly self: string, private readonly domain: string, private readonly nodes: ReadonlyMap<string, EntryNode>) {}

  /** @returns the sorted names of the entry VMs, this one included */
  get names (): readonly string[] {
    this.sortedNames ??= [...new Set([this.self, ...this.nodes.keys()])].sort()
    return this.sortedNames
  }

  /** @returns the same entry VMs with their failure domains */
  get sendingNodes (): readonly FleetMember[] {
    this.nodesWithDomains ??= this.names.map((name) => ({ name, domain: name === this.self ? this.domain : this.nodes.get(name)?.domain ?? '' }))
    return this.nodesWithDomains
  }

  /** @returns the newest version of the configuration that another entry VM has registered with; 0 if none says */
  get newestVersion (): number {
    this.newestRegisteredVersion ??= this.listOthers().reduce((newest, { configurationVersion = 0 }) => Math.max(newest, configurationVersion), 0)
    return this.newestRegisteredVersion
  }

  /**
   * @param version a version of the configuration
   * @returns the other entry VMs that have registered with a newer one
   */
  listNewerThan (version: number): EntryNode[] {
    return this.newestVersion > version ? this.listOthers().filter(({ configurationVersion = 0 }) => configurationVersion > version) : []
  }

  /** Builds the lists again when they are needed, after a change of the nodes. */
  clear (): void {
    this.sortedNames = undefined
    this.nodesWithDomains = undefined
    this.newestRegisteredVersion = undefined
  }

  private listOthers (): EntryNode[] {
    return [...this.nodes.values()].filter(({ name }) => name !== this.self)
  }
}
