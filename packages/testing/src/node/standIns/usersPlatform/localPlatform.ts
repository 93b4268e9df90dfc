/**
 * The users' platform on loopback: a store, workers that register themselves, and
 * entry processes in this process, each with its own way to the store.
 */
import { request as sendRequest, type IncomingHttpHeaders } from 'node:http'
import { createServer } from 'node:net'
import { CloseStack, type IClosable } from '@umberspar/base/common/closing'
import { type ILogger, type LogContext, LogLevel } from '@umberspar/base/common/logger'
import { SeededRandom } from '@umberspar/base/common/random'
import { SystemClock } from '@umberspar/base/node/systemClock'
import type { EntrySettings } from '@umberspar/entry/common/entrySettings'
import type { Entry } from '@umberspar/entry/node/entry'
import { EntryMetrics } from '@umberspar/entry/node/telemetry/entryMetrics'
import { createPlatformEntry } from '@umberspar/users-platform/createEntry'
import { PlatformWorkerStandIn } from './platformWorkerStandIn.js'
import { type RecordStoreListener, RecordStoreStandIn } from './recordStoreStandIn.js'

/** One path of the operator's configuration; what is left out is as in `PATH_DEFAULTS`. */
export interface PathInput {
  readonly Name: string
  readonly Prefix: string
  readonly Kind?: string
  readonly Service?: string
  readonly Split?: ReadonlyArray<{ readonly Service: string, readonly Weight: number }>
  readonly Timeout?: string
  readonly Goal?: string
  readonly Attempts?: number
  readonly Sticky?: boolean
  readonly HomeRegions?: readonly string[]
}

/** One entry process and what it told. */
export interface LocalEntry {
  readonly entry: Entry
  readonly settings: EntrySettings
  readonly store: RecordStoreListener
  /** Log lines in their order. */
  readonly lines: LogContext[]
  /** The same as written, in JSON. */
  readonly text: string[]
  readonly metrics: EntryMetrics
}

/** A call of a client. */
export interface ClientCall {
  readonly path: string
  readonly method?: string
  readonly id?: string
  readonly key?: string
  readonly deadlineMs?: number
  readonly body?: string
  readonly headers?: Record<string, string>
  /** Leaves when this is aborted. */
  readonly signal?: AbortSignal
}

/** What a client got. */
export interface ClientAnswer {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: string
}

const PATH_DEFAULTS = { Kind: 'idempotent', Timeout: '2000ms', Goal: '500ms', Priority: 1, Attempts: 2, Sticky: true, HomeRegions: [] }
const POLL_MS = 10
const HOST = 'shop.example'

async function findFreeAddress (): Promise<string> {
  const server = createServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const address = server.address()
  await new Promise<void>((resolve) => { server.close(() => { resolve() }) })
  return `127.0.0.1:${typeof address === 'object' ? address?.port : ''}`
}

/** Keeps lines as an entry process would write them. */
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
export class LocalPlatform implements IClosable {
  readonly clock = new SystemClock()
  readonly store = new RecordStoreStandIn()
  readonly workers = new Map<string, PlatformWorkerStandIn>()
  private readonly closing = new CloseStack()
  private version = 0
  private services = new Set<string>()

  /** @param regions failure domains with their regions */
  constructor (private readonly regions: Readonly<Record<string, string>>) {
    this.closing.add(this.store)
  }

  /**
   * Starts a worker and registers it.
   * @param coldMs how long it says that it is cold
   */
  async addWorker (id: string, service: string, domain: string, coldMs = 0): Promise<PlatformWorkerStandIn> {
    const worker = this.closing.add(new PlatformWorkerStandIn(id))
    const address = await worker.listen()
    this.services.add(service)
    this.workers.set(id, worker)
    this.registerWorker(id, service, domain, address, 'ready', coldMs)
    return worker
  }

  /** Writes what a worker says of itself. */
  registerWorker (id: string, service: string, domain: string, address: string, state: string, coldMs = 0): void {
    this.store.put(`servers/${id}`, { Service: service, Addr: address, Zone: domain, Version: 'v1', Slots: 4, State: state, ColdLeft: `${coldMs}ms`, Seq: 1 })
  }

  /** Writes the operator's next configuration. @returns its version */
  putConfiguration (paths: readonly PathInput[], coldPerSecond = 7): number {
    this.version += 3
    this.store.put('op/config', {
      Version: `r${this.version}`,
      Services: [...this.services].map((Name) => ({ Name, HealthPath: '/healthz', MaxConns: 100, Proto: 'h1', Tls: false, Cold: '3s', ColdPerS: coldPerSecond })),
      Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 1_000_000, HeaderTimeout: '3000ms', IdleTimeout: '15000ms' },
      Hosts: [{ Host: HOST, Paths: paths.map((path) => ({ ...PATH_DEFAULTS, ...path })) }]
    })
    return this.version
  }

  /** Starts an entry process. */
  async startEntry (node: string, domain: string, seeds: readonly string[] = []): Promise<LocalEntry> {
    const store = this.store.addListener()
    const [callers, questions, metricsAddress] = [await findFreeAddress(), await findFreeAddress(), await findFreeAddress()]
    const settings: EntrySettings = {
      node,
      domain,
      regions: { ...this.regions },
      listen: { callers: callers!, readiness: questions!, lookups: questions!, peers: questions!, metrics: metricsAddress! },
      store: { address: await store.listen() },
      seeds: [...seeds],
      grace: 4_000,
      longestLookupCache: 5_000,
      coldTolerance: { factor: 1.5, slack: 5 },
      repeatBudget: { ratio: 0.2, window: 10_000, slack: 60 },
      memoryMb: 350,
      byteCosts: { otherDomain: 0.004, otherRegion: 0.013 },
      logLevel: LogLevel.Info
    }
    const lines: LogContext[] = []
    const text: string[] = []
    const metrics = new EntryMetrics()
    const entry = createPlatformEntry(settings, { clock: this.clock, random: new SeededRandom(1), logger: new MemoryLogger(node, this.clock, lines, text), metrics })
    this.closing.add(entry)
    await entry.start()
    return { entry, settings, store, lines, text, metrics }
  }

  /** Waits until a condition holds; the test's own time limit ends a wait in vain. */
  async waitUntil (isTrue: () => boolean | Promise<boolean>): Promise<void> {
    while (!await isTrue()) await new Promise<void>((resolve) => { this.clock.schedule(this.clock.now() + POLL_MS, resolve) })
  }

  /** Waits until an entry process takes requests. */
  async waitUntilReady ({ settings }: LocalEntry): Promise<void> {
    await this.waitUntil(async () => (await this.ask(settings.listen.readiness, '/umberspar/readyz')).status === 200)
  }

  /** Sends a client's request to an entry process. */
  async call ({ settings }: LocalEntry, { path, method = 'GET', id = 'request', key, deadlineMs = 3_000, body, headers = {}, signal }: ClientCall): Promise<ClientAnswer> {
    const cookie: Record<string, string> = key === undefined ? {} : { Cookie: `X-Umberspar-Affinity-Key=${key}` }
    return await this.send(settings.listen.callers, path, method, {
      Host: HOST,
      'X-Umberspar-Request-Id': id,
      'X-Umberspar-Deadline-Ms': String(deadlineMs),
      ...cookie,
      ...headers
    }, body, signal)
  }

  /** Asks an entry process, as a client does, which ones to use. @returns their addresses */
  async lookUp ({ settings }: LocalEntry, domain: string): Promise<string[]> {
    const { body } = await this.ask(settings.listen.lookups, `/umberspar/resolve?Name=${HOST}&Region=${this.regions[domain]}&Zone=${domain}`)
    return (JSON.parse(body) as { Addrs: string[] }).Addrs
  }

  /** @returns the id of the request that an answer belongs to, by the worker's word */
  getRequestId ({ headers }: ClientAnswer): string {
    return String(headers['x-umberspar-request-id'])
  }

  /** Asks a listener a question. */
  async ask (address: string, path: string): Promise<ClientAnswer> {
    return await this.send(address, path, 'GET', {})
  }

  async close (): Promise<void> {
    await this.closing.close()
  }

  private async send (address: string, path: string, method: string, headers: Record<string, string>, body?: string, signal?: AbortSignal): Promise<ClientAnswer> {
    const [host, port] = address.split(':')
    return await new Promise((resolve, reject) => {
      const request = sendRequest({ host, port, path, method, headers, agent: false, signal }, (response) => {
        const chunks: Buffer[] = []
        response.on('data', (chunk: Buffer) => { chunks.push(chunk) })
        response.on('end', () => { resolve({ status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks).toString() }) })
        response.on('error', reject)
      })
      request.on('error', reject)
      request.end(body)
    })
  }
}
