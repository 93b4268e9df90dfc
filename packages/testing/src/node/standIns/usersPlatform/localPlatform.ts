/**
 * The users' platform on loopback: a store, workers that register themselves, and
 * entry processes in this process, each with its own way to the store.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { CloseStack, type IClosable } from '@umberspar/base/common/closing'
import { type ILogger, type LogContext, LogLevel } from '@umberspar/base/common/logger'
import { SeededRandom } from '@umberspar/base/common/random'
import { SystemClock } from '@umberspar/base/node/systemClock'
import type { EntrySettings } from '@umberspar/entry/common/entrySettings'
import type { Entry } from '@umberspar/entry/node/entry'
import { EntryMetrics } from '@umberspar/entry/node/telemetry/entryMetrics'
import { createPlatformEntry } from '@umberspar/users-platform/createEntry'
import { waitForCondition } from '../../load/polling.js'
import { TcpRelay } from '../tcpRelay.js'
import { findEntryAddresses } from './entryProgram.js'
import { PlatformWorkerStandIn } from './platformWorkerStandIn.js'
import { askAt, type ClientAnswer, type ClientCall, getAnsweredId, isReadyAt, lookUpAt, sendCall } from './platformClient.js'
import { PlatformRecords } from './platformRecords.js'
import { WorkerLink } from './workerLink.js'
import type { RecordStoreListener } from './recordStoreStandIn.js'

export type { ClientAnswer, ClientCall } from './platformClient.js'
export type { PathInput } from './platformRecords.js'

/** One entry process with its log lines and metrics. */
export interface LocalEntry {
  readonly entry: Entry
  readonly settings: EntrySettings
  readonly store: RecordStoreListener
  /** Log lines in their order. */
  readonly lines: LogContext[]
  /** The same as written, in JSON. */
  readonly text: string[]
  readonly metrics: EntryMetrics
  /** Its way to the workers. */
  readonly link: WorkerLink
}

const POLL_MS = 10
/** Limits waits, so that a condition that never holds fails the test; even on a busy machine they take less than a tenth of it. */
const MOST_WAIT_MS = 100_000

/** Keeps log lines in memory, in the format in which an entry process writes them. */
class MemoryLogger implements ILogger {
  constructor (private readonly node: string, private readonly clock: SystemClock, private readonly lines: LogContext[], private readonly text: string[]) {}

  log (level: LogLevel, context: LogContext, message: string): void {
    if (level === LogLevel.Debug) return
    const line = { context: { node: this.node, ...context }, message, sequence: String(this.lines.length), time: this.clock.getWallTime() }
    this.lines.push({ ...context, message, level })
    this.text.push(JSON.stringify(line))
  }

  createChild (): ILogger {
    return this
  }
}

/** The deployment. */
export class LocalPlatform extends PlatformRecords implements IClosable {
  readonly clock = new SystemClock()
  readonly workers = new Map<string, PlatformWorkerStandIn>()
  private readonly closing = new CloseStack()

  /** @param regions failure domains with their regions */
  constructor (regions: Readonly<Record<string, string>>) {
    super(regions)
    this.closing.add(this.store)
  }

  /**
   * Starts a worker and registers it.
   * @param coldMs how long it says that it is cold
   */
  async addWorker (id: string, service: string, domain: string, coldMs = 0): Promise<PlatformWorkerStandIn> {
    const worker = this.closing.add(new PlatformWorkerStandIn(id))
    const address = await worker.listen()
    this.workers.set(id, worker)
    this.putWorker({ id, service, domain, address, coldMs })
    return worker
  }

  /**
   * Starts an entry process of a VM that has long been a member of the fleet.
   * @param startedAt when it pretends to have started; by default so long ago that its start limits no budget any more
   */
  async startEntry (node: string, domain: string, seeds: readonly string[] = [], startedAt: Instant = Number.NEGATIVE_INFINITY): Promise<LocalEntry> {
    const store = this.store.addListener()
    this.putMember(node, domain)
    const settings = this.createSettings(node, domain, await findEntryAddresses(await store.listen()), seeds)
    const lines: LogContext[] = []
    const text: string[] = []
    const metrics = new EntryMetrics()
    const link = new WorkerLink()
    const entry = createPlatformEntry(settings, { clock: this.clock, random: new SeededRandom(1), logger: new MemoryLogger(node, this.clock, lines, text), metrics, startedAt, openWorkerSocket: link.open })
    this.closing.add(entry)
    await entry.start()
    return { entry, settings, store, lines, text, metrics, link }
  }

  /**
   * Makes the other entry processes reach this one's peer listener through a relay that can
   * simulate faults of the link.
   * @returns the relay
   */
  async addPeerRelay ({ settings }: LocalEntry): Promise<TcpRelay> {
    const relay = this.closing.add(new TcpRelay(settings.listen.peers))
    const { node, domain, listen } = settings
    this.store.put(`entry-vms/${node}`, { address: listen.callers, peerAddress: await relay.start(), domain })
    return relay
  }

  /** Waits until a condition holds; rejects after {@link MOST_WAIT_MS}. */
  async waitUntil (isTrue: () => boolean | Promise<boolean>): Promise<void> {
    const holds = await waitForCondition(this.clock, this.clock.now() + MOST_WAIT_MS, POLL_MS, isTrue)
    if (!holds) throw new Error(`waited in vain for ${MOST_WAIT_MS} ms: ${String(isTrue)}`)
  }

  /** Waits until an entry process reports that it is ready. */
  async waitUntilReady ({ settings }: LocalEntry): Promise<void> {
    await this.waitUntil(async () => await isReadyAt(settings.listen.readiness))
  }

  /** Sends a client's request to an entry process. */
  async call ({ settings }: LocalEntry, call: ClientCall): Promise<ClientAnswer> {
    return await sendCall(settings.listen.callers, call)
  }

  /** Looks up the entry VMs for a failure domain as a client does. @returns their addresses */
  async lookUp ({ settings }: LocalEntry, domain: string): Promise<string[]> {
    return await lookUpAt(settings.listen.lookups, this.regions[domain] ?? '', domain)
  }

  /** @returns the request id that the worker echoed in its response */
  getRequestId (answer: ClientAnswer): string {
    return getAnsweredId(answer)
  }

  /** Sends a GET request to a listener. */
  async ask (address: string, path: string): Promise<ClientAnswer> {
    return await askAt(address, path)
  }

  async close (): Promise<void> {
    await this.closing.close()
  }
}
