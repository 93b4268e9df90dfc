/** The entry processes of a routing soak: real programs, connected to the store and to each other through relays. */
import { appendFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { CloseStack, type IClosable } from '@umberspar/base/common/closing'
import type { EntrySettings } from '@umberspar/entry/common/entrySettings'
import type { ChildProgram } from '@umberspar/testing/node/measure/childProgram'
import { TcpRelay } from '@umberspar/testing/node/standIns/tcpRelay'
import { findEntryAddresses, spawnEntry } from '@umberspar/testing/node/standIns/usersPlatform/entryProgram'
import type { EntryAddresses, PlatformRecords } from '@umberspar/testing/node/standIns/usersPlatform/platformRecords'
import type { RecordStoreListener } from '@umberspar/testing/node/standIns/usersPlatform/recordStoreStandIn'
import { EntryProcess } from '../entryProcess.js'

const ENTRY_PRELOAD = new URL('../entryPreload.js', import.meta.url)
const WORKER_LINK_PRELOAD = new URL('../workerLinkPreload.js', import.meta.url)
const LINK_PRELOAD = new URL('./linkPreload.js', import.meta.url)
/** The time limits of the users' first deployments, which have no client accounts. */
const DEPLOYMENT_LIMITS = { changeLimits: [2_500, 2_500, 5_000], goneWithin: 3_000, revokeWithin: undefined }

/** The files and folders of the entry processes. */
export interface RoutingFiles {
  /** Folder for settings and link tables. */
  readonly folder: string
  /** Folder for the logs of entry processes; undefined to discard them. */
  readonly logs?: string | undefined
  /** Entry program of another build; undefined for that of this build. */
  readonly program?: URL | undefined
}

/** An entry VM with its process and links. */
export class RoutingEntry extends EntryProcess {
  /**
   * @param settings the settings of the VM
   * @param store the listener of the store's stand-in that serves this VM alone
   * @param storeLink relay to that listener
   * @param links relays to the other VMs, by their names
   * @param files the files and folders of the process
   * @param onExited called if the process exits unexpectedly
   */
  constructor (
    settings: EntrySettings,
    readonly store: RecordStoreListener,
    readonly storeLink: TcpRelay,
    readonly links: ReadonlyMap<string, TcpRelay>,
    private readonly files: RoutingFiles,
    onExited: (node: string, detail: string) => void
  ) {
    super(settings, onExited)
  }

  protected override spawn (): ChildProgram {
    const { folder, logs, program } = this.files
    const { node } = this.settings
    return spawnEntry(join(folder, `${node}.json`), {
      preloads: [ENTRY_PRELOAD, LINK_PRELOAD, WORKER_LINK_PRELOAD],
      variables: { UMBERSPAR_SOAK_LINKS: join(folder, `${node}.links.json`) },
      readsOutput: true,
      onOutput: (text) => { if (logs !== undefined) appendFileSync(join(logs, `${node}.log`), text) }
    }, program)
  }
}

interface ReservedEntry {
  readonly node: string
  readonly domain: string
  readonly addresses: EntryAddresses
  readonly store: RecordStoreListener
  readonly storeLink: TcpRelay
}

function listAddresses ({ callers, questions, metrics }: EntryAddresses): string[] {
  return [callers, questions, metrics]
}

/** The entry VMs of a run. */
export class RoutingEntries implements IClosable {
  readonly list: RoutingEntry[] = []
  private readonly closing = new CloseStack()

  /**
   * @param records the records in the store
   * @param files the files and folders of the processes
   * @param onExited called if a process exits unexpectedly
   */
  constructor (private readonly records: PlatformRecords, private readonly files: RoutingFiles, private readonly onExited: (node: string, detail: string) => void) {}

  /** Starts the given number of processes, distributed evenly over the failure domains. */
  async start (count: number): Promise<void> {
    const domains = Object.keys(this.records.regions)
    const reservedEntries: ReservedEntry[] = []
    for (let index = 0; index < count; index++) {
      const takenAddresses = new Set(reservedEntries.flatMap(({ addresses }) => listAddresses(addresses)))
      reservedEntries.push(await this.reserveEntry(`entry-${index + 1}`, domains[index % domains.length]!, takenAddresses))
    }
    for (const reserved of reservedEntries) this.list.push(this.closing.add(await this.createEntry(reserved, reservedEntries)))
    for (const entry of this.list) entry.start()
  }

  async close (): Promise<void> {
    await this.closing.close()
  }

  private async reserveEntry (node: string, domain: string, takenAddresses: ReadonlySet<string>): Promise<ReservedEntry> {
    const store = this.records.store.addListener()
    const storeLink = this.closing.add(new TcpRelay(await store.listen()))
    const storeAddress = await storeLink.start()
    for (;;) {
      const addresses = await findEntryAddresses(storeAddress)
      // The other VMs don't listen at their addresses yet, so these may be found again as free ones.
      if (!listAddresses(addresses).some((address) => takenAddresses.has(address))) return { node, domain, store, storeLink, addresses }
    }
  }

  private async createEntry ({ node, domain, addresses, store, storeLink }: ReservedEntry, reservedEntries: readonly ReservedEntry[]): Promise<RoutingEntry> {
    const links = new Map<string, TcpRelay>()
    const relays: Record<string, string> = {}
    for (const peer of reservedEntries) {
      if (peer.node === node) continue
      const link = this.closing.add(new TcpRelay(peer.addresses.questions))
      links.set(peer.node, link)
      relays[peer.addresses.questions] = await link.start()
    }
    const seeds = reservedEntries.slice(0, 3).map(({ addresses: { questions } }) => questions)
    const settings: EntrySettings = { ...this.records.createSettings(node, domain, addresses, seeds), ...DEPLOYMENT_LIMITS }
    writeFileSync(join(this.files.folder, `${node}.json`), JSON.stringify(settings))
    writeFileSync(join(this.files.folder, `${node}.links.json`), JSON.stringify(relays))
    return new RoutingEntry(settings, store, storeLink, links, this.files, this.onExited)
  }
}
