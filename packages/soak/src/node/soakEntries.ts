/** The entry processes of a soak run: real programs, connected to their callers and to the store through relays. */
import { appendFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { IClock } from '@umberspar/base/common/clock'
import { CloseStack, type IClosable } from '@umberspar/base/common/closing'
import { LogLevel } from '@umberspar/base/common/logger'
import type { EntrySettings } from '@umberspar/entry/common/entrySettings'
import { waitForCondition } from '@umberspar/testing/node/load/polling'
import type { ChildProgram } from '@umberspar/testing/node/measure/childProgram'
import { findEntryAddresses, spawnEntry } from '@umberspar/testing/node/standIns/usersPlatform/entryProgram'
import type { PlatformRecords } from '@umberspar/testing/node/standIns/usersPlatform/platformRecords'
import type { RecordStoreListener } from '@umberspar/testing/node/standIns/usersPlatform/recordStoreStandIn'
import { TcpRelay } from '@umberspar/testing/node/standIns/tcpRelay'
import { SoakRule } from '../common/soakRule.js'
import { EntryProcess } from './entryProcess.js'
import type { ExchangeLoss } from './exchangePreload.js'
import type { SoakChecker } from './soakChecker.js'

const POLL_INTERVAL_MS = 50
const MAX_SHIFT = 0.25
/** As the users set it. */
const RATE_TOLERANCE = { factor: 1.5, slack: 5 }
const ENTRY_PRELOAD = new URL('./entryPreload.js', import.meta.url)
const EXCHANGE_PRELOAD = new URL('./exchangePreload.js', import.meta.url)
const WORKER_LINK_PRELOAD = new URL('./workerLinkPreload.js', import.meta.url)

/** An entry process and its links. */
export class SoakEntry extends EntryProcess {
  private settingsChanges = 0

  /**
   * @param settings the settings of the entry VM
   * @param settingsFile path of the file that the settings are written to
   * @param callerLink relay from callers to the entry VM
   * @param callerLinkAddress address of that relay
   * @param storeLink relay from the entry VM to the store
   * @param store the listener of the store's stand-in that serves this VM alone
   * @param checker receives a report if the process exits unexpectedly
   * @param logs existing folder for the log of the process; undefined to discard it
   */
  constructor (
    settings: EntrySettings,
    private readonly settingsFile: string,
    readonly callerLink: TcpRelay,
    readonly callerLinkAddress: string,
    readonly storeLink: TcpRelay,
    readonly store: RecordStoreListener,
    private readonly checker: SoakChecker,
    private readonly logs: string | undefined
  ) {
    super(settings, (node, detail) => { checker.report(SoakRule.EntryExited, node, detail) })
  }

  protected override spawn (): ChildProgram {
    this.writeSettings()
    for (const address of [this.settings.listen.callers, this.callerLinkAddress]) this.checker.recordEntryStart(address)
    return spawnEntry(this.settingsFile, { preloads: [ENTRY_PRELOAD, EXCHANGE_PRELOAD, WORKER_LINK_PRELOAD], readsOutput: true, onOutput: (text) => { this.keepLog(text) } })
  }

  /** Writes settings with a change that a running process can apply, and sends it SIGHUP to reload them. */
  updateSettings (): void {
    this.settingsChanges++
    this.writeSettings()
    this.program?.sendHangUp()
  }

  /**
   * Shifts the wall clock of the process.
   * @param shiftMs offset from the true time, in milliseconds
   */
  setTimeShift (shiftMs: number): void {
    this.program?.send({ shiftMs })
  }

  /**
   * Loses datagrams of the process from now on.
   * @param loss the parts of what it sends and of what it receives that are lost
   */
  setExchangeLoss (loss: ExchangeLoss): void {
    this.program?.send({ exchangeLoss: loss })
  }

  private keepLog (text: string): void {
    if (this.logs !== undefined) appendFileSync(join(this.logs, `${this.settings.node}.log`), text)
  }

  private writeSettings (): void {
    const logLevel = this.settingsChanges % 2 === 0 ? LogLevel.Info : LogLevel.Warn
    writeFileSync(this.settingsFile, JSON.stringify({ ...this.settings, logLevel }))
  }
}

/** The entry processes of a run. */
export class SoakEntries implements IClosable {
  readonly list: SoakEntry[] = []
  private readonly closing = new CloseStack()

  /**
   * @param records the records in the store
   * @param folder folder for the settings files
   * @param checker receives a report of each process that exits unexpectedly
   * @param clock clock for waiting
   * @param logs existing folder for the logs of the processes; undefined to discard them
   */
  constructor (
    private readonly records: PlatformRecords,
    private readonly folder: string,
    private readonly checker: SoakChecker,
    private readonly clock: IClock,
    private readonly logs?: string
  ) {}

  /** Starts the given number of processes, distributed evenly over the failure domains, and waits until all are ready. */
  async start (count: number): Promise<void> {
    const domains = Object.keys(this.records.regions)
    for (let index = 0; index < count; index++) {
      const entry = await this.createEntry(`entry-${index + 1}`, domains[index % domains.length]!)
      this.list.push(this.closing.add(entry))
      entry.start()
    }
    for (const entry of this.list) {
      await waitForCondition(this.clock, Infinity, POLL_INTERVAL_MS, async () => await entry.isReady())
    }
  }

  /** @returns the address to connect to in order to reach the entry VM that registered the given address */
  getConnectAddress (address: string): string {
    return this.list.find(({ settings }) => settings.listen.callers === address)?.callerLinkAddress ?? address
  }

  async close (): Promise<void> {
    await this.closing.close()
  }

  private async createEntry (node: string, domain: string): Promise<SoakEntry> {
    const store = this.records.store.addListener()
    const storeLink = this.closing.add(new TcpRelay(await store.listen()))
    const addresses = await findEntryAddresses(await storeLink.start())
    const callerLink = this.closing.add(new TcpRelay(addresses.callers))
    const seeds = this.list.slice(0, 3).map(({ settings }) => settings.listen.peers)
    const settings = { ...this.records.createSettings(node, domain, addresses, seeds), maxShift: MAX_SHIFT, rateTolerance: RATE_TOLERANCE }
    return new SoakEntry(settings, join(this.folder, `${node}.json`), callerLink, await callerLink.start(), storeLink, store, this.checker, this.logs)
  }
}
