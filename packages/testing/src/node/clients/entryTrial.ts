/**
 * One entry process whose machine has little memory and few descriptors, and what a crowd of
 * clients does to it.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { CloseStack, type IClosable } from '@umberspar/base/common/closing'
import { SystemClock } from '@umberspar/base/node/systemClock'
import type { EntrySettings } from '@umberspar/entry/common/entrySettings'
import { waitForCondition } from '../load/polling.js'
import type { ChildProgram } from '../measure/childProgram.js'
import { findEntryAddresses, spawnEntry } from '../standIns/usersPlatform/entryProgram.js'
import { type ClientAnswer, type ClientCall, isReadyAt, sendCall } from '../standIns/usersPlatform/platformClient.js'
import { type CallerLimits, PlatformRecords } from '../standIns/usersPlatform/platformRecords.js'
import { PlatformWorkerStandIn } from '../standIns/usersPlatform/platformWorkerStandIn.js'
import { waitFor } from '../waiting.js'
import { type CrowdOptions, HostileCrowd } from './hostileCrowd.js'
import { countDescriptors, readPeakMemoryMb } from './processUsage.js'
import { HEAP_RATIO, SEMI_SPACE_MB, type TrialMachine, type TrialResult } from './trial.js'

const DOMAIN = 'north-1'
const SERVICE = 'archive'
const START_TIMEOUT_MS = 60_000
const POLL_MS = 20
/** How long a crowd stays. */
const CROWD_MS = 4_000
const SAMPLE_INTERVAL_MS = 50
/** The time within which an ordinary request must be served once the crowd has left, however often it returns: well beyond the time limits of all requests. */
const ORDINARY_TIMEOUT_MS = 30_000
const ORDINARY_DEADLINE_MS = 3_000
/** A connection that is neither answered nor closed is given up. */
const EXCHANGE_TIMEOUT_MS = 10_000
const OK = 200

/** One entry process, its store and its worker. */
export class EntryTrial implements IClosable {
  private readonly clock = new SystemClock()
  private readonly closing = new CloseStack()
  private readonly folder = mkdtempSync(join(tmpdir(), 'umberspar-clients-'))
  readonly worker = new PlatformWorkerStandIn('w-1')
  private program: ChildProgram | undefined
  private end: string | undefined
  private peakDescriptors = 0
  settings!: EntrySettings

  /** @param machine the machine of the process */
  constructor (private readonly machine: TrialMachine) {}

  /**
   * Starts the process and waits until it is ready.
   * @param limits the limits of callers; those of the stand-in by default
   */
  async start (limits?: CallerLimits): Promise<void> {
    const { memoryMb, maxDescriptors } = this.machine
    const records = new PlatformRecords({ [DOMAIN]: 'north' })
    this.closing.add(records.store)
    this.closing.add(this.worker)
    records.putWorker({ id: this.worker.id, service: SERVICE, domain: DOMAIN, address: await this.worker.listen() })
    if (limits !== undefined) records.callerLimits = limits
    records.putConfiguration([{ Name: 'lookups', Prefix: '/a/', Service: SERVICE, Sticky: false, Timeout: '10s' }, { Name: 'uploads', Prefix: '/up/', Service: SERVICE, Kind: 'upload', Sticky: false, Timeout: '10s' }])
    const store = await records.store.addListener().listen()
    this.settings = { ...records.createSettings('vm-1', DOMAIN, await findEntryAddresses(store)), memoryMb, maxDescriptors }
    const file = join(this.folder, 'vm-1.json')
    writeFileSync(file, JSON.stringify(this.settings))
    const heapMb = Math.floor(memoryMb * HEAP_RATIO)
    const program = this.closing.add(spawnEntry(file, { readsOutput: true, variables: { NODE_OPTIONS: `--max-old-space-size=${heapMb} --max-semi-space-size=${SEMI_SPACE_MB}` } }))
    this.program = program
    program.waitForExit().then(({ code, signal }) => { this.end = signal ?? `code ${code}` }, () => {})
    const isReady = await waitForCondition(this.clock, this.clock.now() + START_TIMEOUT_MS, POLL_MS, async () => await isReadyAt(this.settings.listen.readiness))
    if (!isReady) throw new Error(`the entry process isn't ready: ${program.listLastErrors().join('\n')}`)
  }

  /**
   * Lets a crowd do what it does, and sends an ordinary request when it has left.
   * @param options how the crowd behaves
   * @returns what the process used at most
   */
  async run (options: CrowdOptions): Promise<TrialResult> {
    const crowd = new HostileCrowd(options)
    crowd.start()
    const until = this.clock.now() + CROWD_MS
    while (this.clock.now() < until && this.end === undefined) {
      await this.recordUsage()
      await waitFor(this.clock, SAMPLE_INTERVAL_MS)
    }
    crowd.close()
    return await this.finish()
  }

  /** @returns what the process used at most, after an ordinary request */
  async finish (): Promise<TrialResult> {
    const status = await this.sendOrdinary()
    await this.recordUsage()
    const peakMemoryMb = this.end === undefined ? await readPeakMemoryMb(this.program!.pid) : undefined
    return { end: this.end, peakMemoryMb, peakDescriptors: this.peakDescriptors, status }
  }

  /** Sends a request to the process as a caller does. */
  async call (call: ClientCall): Promise<ClientAnswer> {
    return await sendCall(this.settings.listen.callers, call)
  }

  /**
   * Sends bytes on a connection of their own.
   * @param bytes one per character
   * @returns what was received until the process closed the connection, or until a response is complete
   */
  async exchange (bytes: string): Promise<string> {
    const [host, port] = this.settings.listen.callers.split(':')
    return await new Promise((resolve) => {
      let received = ''
      const socket = connect(Number(port), host)
      const timer = setTimeout(() => { socket.destroy() }, EXCHANGE_TIMEOUT_MS)
      socket.on('data', (chunk) => {
        received += chunk.toString('latin1')
        if (received.includes(this.worker.body)) socket.destroy()
      })
      socket.on('error', () => {})
      socket.on('close', () => {
        clearTimeout(timer)
        resolve(received)
      })
      socket.write(bytes, 'latin1')
    })
  }

  async close (): Promise<void> {
    await this.closing.close()
    rmSync(this.folder, { recursive: true })
  }

  /** Sends an ordinary request, and returns with it after a refusal or a failure, as callers do. */
  private async sendOrdinary (): Promise<number> {
    let status = 0
    await waitForCondition(this.clock, this.clock.now() + ORDINARY_TIMEOUT_MS, POLL_MS, async () => {
      if (this.end !== undefined) return true
      try {
        status = (await this.call({ path: '/a/1', id: 'ordinary', deadlineMs: ORDINARY_DEADLINE_MS, signal: AbortSignal.timeout(ORDINARY_DEADLINE_MS) })).status
      } catch {
        status = 0
      }
      return status === OK
    })
    return status
  }

  private async recordUsage (): Promise<void> {
    if (this.end !== undefined) return
    try {
      this.peakDescriptors = Math.max(this.peakDescriptors, await countDescriptors(this.program!.pid))
    } catch {
      // The process ended just now; its exit is recorded apart.
    }
  }
}
