/** The entry processes of a routing soak: real programs, with a relay on each link to the store and to each other. */
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
const LINK_PRELOAD = new URL('./linkPreload.js', import.meta.url)
/** The bounds of the users' first deployments, which have no client accounts. */
const BOUNDS = { changeLimits: [2_500, 2_500, 5_000], goneWithin: 3_000, revokeWithin: undefined }

/** Where everything is written, and what is run. */
export interface RoutingFiles {
  /** For settings and tables of links. */
  readonly folder: string
  /** For the logs of entry processes; undefined if they are not kept. */
  readonly logs?: string | undefined
  /** The program of another build; undefined for this one's. */
  readonly program?: URL | undefined
}

/** One entry VM. */
export class RoutingEntry extends EntryProcess {
  /**
   * @param settings its settings
   * @param store its way into the store's stand-in
   * @param storeLink its link to the store
   * @param links its links to the other VMs, by their names
   * @param files what is run, and where it writes
   * @param onEnded called if its process ends by itself
   */
  constructor (
    settings: EntrySettings,
    readonly store: RecordStoreListener,
    readonly storeLink: TcpRelay,
    readonly links: ReadonlyMap<string, TcpRelay>,
    private readonly files: RoutingFiles,
    onEnded: (node: string, detail: string) => void
  ) {
    super(settings, onEnded)
  }

  protected override spawn (): ChildProgram {
    const { folder, logs, program } = this.files
    const { node } = this.settings
    return spawnEntry(join(folder, `${node}.json`), {
      preloads: [ENTRY_PRELOAD, LINK_PRELOAD],
      variables: { UMBERSPAR_SOAK_LINKS: join(folder, `${node}.links.json`) },
      readsOutput: true,
      onOutput: (text) => { if (logs !== undefined) appendFileSync(join(logs, `${node}.log`), text) }
    }, program)
  }
}

interface Place {
  readonly node: string
  readonly domain: string
  readonly addresses: EntryAddresses
  readonly store: RecordStoreListener
  readonly storeLink: TcpRelay
}

function listAddresses ({ callers, questions, metrics }: EntryAddresses): string[] {
  return [callers, questions, metrics]
}

/** All entry VMs. */
export class RoutingEntries implements IClosable {
  readonly list: RoutingEntry[] = []
  private readonly closing = new CloseStack()

  /**
   * @param records the store
   * @param files what is run, and where it writes
   * @param onEnded called if a process ends by itself
   */
  constructor (private readonly records: PlatformRecords, private readonly files: RoutingFiles, private readonly onEnded: (node: string, detail: string) => void) {}

  /** Starts the processes, evenly over the failure domains. */
  async start (count: number): Promise<void> {
    const domains = Object.keys(this.records.regions)
    const places: Place[] = []
    for (let index = 0; index < count; index++) {
      const taken = new Set(places.flatMap(({ addresses }) => listAddresses(addresses)))
      places.push(await this.findPlace(`entry-${index + 1}`, domains[index % domains.length]!, taken))
    }
    for (const place of places) this.list.push(this.closing.add(await this.create(place, places)))
    for (const entry of this.list) entry.start()
  }

  async close (): Promise<void> {
    await this.closing.close()
  }

  private async findPlace (node: string, domain: string, taken: ReadonlySet<string>): Promise<Place> {
    const store = this.records.store.addListener()
    const storeLink = this.closing.add(new TcpRelay(await store.listen()))
    const storeAddress = await storeLink.start()
    for (;;) {
      const addresses = await findEntryAddresses(storeAddress)
      // Nobody listens at the addresses of the others yet, so that they look free.
      if (!listAddresses(addresses).some((address) => taken.has(address))) return { node, domain, store, storeLink, addresses }
    }
  }

  private async create ({ node, domain, addresses, store, storeLink }: Place, places: readonly Place[]): Promise<RoutingEntry> {
    const links = new Map<string, TcpRelay>()
    const relays: Record<string, string> = {}
    for (const other of places) {
      if (other.node === node) continue
      const link = this.closing.add(new TcpRelay(other.addresses.questions))
      links.set(other.node, link)
      relays[other.addresses.questions] = await link.start()
    }
    const seeds = places.slice(0, 3).map(({ addresses: { questions } }) => questions)
    const settings: EntrySettings = { ...this.records.createSettings(node, domain, addresses, seeds), ...BOUNDS }
    writeFileSync(join(this.files.folder, `${node}.json`), JSON.stringify(settings))
    writeFileSync(join(this.files.folder, `${node}.links.json`), JSON.stringify(relays))
    return new RoutingEntry(settings, store, storeLink, links, this.files, this.onEnded)
  }
}
