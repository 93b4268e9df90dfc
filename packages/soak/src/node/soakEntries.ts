/** The entry processes of a soak run: real programs, each behind relays to its callers and to the store. */
import { writeFileSync } from 'node:fs'
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
import type { SoakJudge } from './soakJudge.js'

const POLL_MS = 50
const ENTRY_PRELOAD = new URL('./entryPreload.js', import.meta.url)

/** One entry process and the links to it. */
export class SoakEntry extends EntryProcess {
  private changes = 0

  /**
   * @param settings its settings
   * @param file where they are written
   * @param way the relay before its callers' listener
   * @param wayAddress where that listens
   * @param storeWay the relay before its listener at the store
   * @param store that listener
   * @param judge told if the process ends by itself
   */
  constructor (
    settings: EntrySettings,
    private readonly file: string,
    readonly way: TcpRelay,
    readonly wayAddress: string,
    readonly storeWay: TcpRelay,
    readonly store: RecordStoreListener,
    judge: SoakJudge
  ) {
    super(settings, (node, detail) => { judge.report(SoakRule.EntryEnded, node, detail) })
  }

  protected override spawn (): ChildProgram {
    this.writeSettings()
    return spawnEntry(this.file, { preloads: [ENTRY_PRELOAD], readsOutput: true })
  }

  /** Writes the settings with a change that a running process can take over, and tells it. */
  updateSettings (): void {
    this.changes++
    this.writeSettings()
    this.program?.sendHangUp()
  }

  /** Moves its time of day. @param shiftMs from the true time */
  setTimeShift (shiftMs: number): void {
    this.program?.send({ shiftMs })
  }

  private writeSettings (): void {
    const logLevel = this.changes % 2 === 0 ? LogLevel.Info : LogLevel.Warn
    writeFileSync(this.file, JSON.stringify({ ...this.settings, logLevel }))
  }
}

/** All entry processes. */
export class SoakEntries implements IClosable {
  readonly list: SoakEntry[] = []
  private readonly closing = new CloseStack()

  /**
   * @param records the store
   * @param folder for settings files
   * @param judge told of processes that end by themselves
   * @param clock for waiting
   */
  constructor (
    private readonly records: PlatformRecords,
    private readonly folder: string,
    private readonly judge: SoakJudge,
    private readonly clock: IClock
  ) {}

  /** Starts the processes, evenly over the failure domains, and waits until all are ready. */
  async start (count: number): Promise<void> {
    const domains = Object.keys(this.records.regions)
    for (let index = 0; index < count; index++) {
      const entry = await this.create(`entry-${index + 1}`, domains[index % domains.length]!)
      this.list.push(this.closing.add(entry))
      entry.start()
    }
    for (const entry of this.list) {
      await waitForCondition(this.clock, Infinity, POLL_MS, async () => await entry.isReady())
    }
  }

  /** @returns where to connect to reach an entry VM by the address that it registered */
  getWay (address: string): string {
    return this.list.find(({ settings }) => settings.listen.callers === address)?.wayAddress ?? address
  }

  async close (): Promise<void> {
    await this.closing.close()
  }

  private async create (node: string, domain: string): Promise<SoakEntry> {
    const store = this.records.store.addListener()
    const storeWay = this.closing.add(new TcpRelay(await store.listen()))
    const addresses = await findEntryAddresses(await storeWay.start())
    const way = this.closing.add(new TcpRelay(addresses.callers))
    const seeds = this.list.slice(0, 3).map(({ settings }) => settings.listen.peers)
    const settings = this.records.createSettings(node, domain, addresses, seeds)
    return new SoakEntry(settings, join(this.folder, `${node}.json`), way, await way.start(), storeWay, store, this.judge)
  }
}
