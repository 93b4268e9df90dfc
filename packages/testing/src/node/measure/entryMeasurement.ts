/**
 * What an entry process on the users' platform costs: processor time while idle
 * and for each request (5 kB each way), and the part of it that the logs take, by a
 * second process that writes none. The process is a real one.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { Agent } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { CloseStack } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { LogLevel } from '@umberspar/base/common/logger'
import { SeededRandom } from '@umberspar/base/common/random'
import { SystemClock } from '@umberspar/base/node/systemClock'
import type { EntrySettings } from '@umberspar/entry/common/entrySettings'
import { findEntryAddresses, spawnEntry } from '../standIns/usersPlatform/entryProgram.js'
import { isReadyAt, sendCall } from '../standIns/usersPlatform/platformClient.js'
import { PlatformRecords } from '../standIns/usersPlatform/platformRecords.js'
import { PlatformWorkerStandIn } from '../standIns/usersPlatform/platformWorkerStandIn.js'
import { ArrivalPacing, runOpenLoop } from '../load/loadRunner.js'
import { waitForCondition } from '../load/polling.js'
import { waitUntil } from '../waiting.js'
import type { ChildProgram } from './childProgram.js'
import { type MeasureOptions, type Measurement, printFigures } from './measurement.js'

const BODY_BYTES = 5_000
const WORKERS = 8
const WORK_MS = 20
const OBJECTS = 200
const SEED = 1
/** Far above rate times latency. */
const MOST_OPEN = 1_000
/** Before any figure a process runs under load for so long, in milliseconds: its code is compiled by then. */
const WARM_UP_MS = 12_000
const ROUNDS = 4
const POLL_MS = 20
const MS_PER_SECOND = 1_000
/** A figure is not valid if more of the requests than this part failed. */
const MOST_FAILED = 0.01

interface LoadFigure {
  requests: number
  failed: number
  cpuSeconds: number
  seconds: number
}

/** One entry process with its store and workers. */
class MeasuredEntry {
  private readonly clock = new SystemClock()
  private readonly agent = new Agent({ keepAlive: true })
  private readonly random = new SeededRandom(SEED)
  private sequence = 0

  private constructor (private readonly program: ChildProgram, private readonly settings: EntrySettings) {}

  static async start (records: PlatformRecords, folder: string, logLevel: LogLevel, closing: CloseStack): Promise<MeasuredEntry> {
    const store = records.store.addListener()
    const settings = { ...records.createSettings(`entry-${logLevel}`, 'north-1', await findEntryAddresses(await store.listen())), logLevel }
    const file = join(folder, `${settings.node}.json`)
    writeFileSync(file, JSON.stringify(settings))
    const program = closing.add(spawnEntry(file, { readsOutput: true }))
    const entry = new MeasuredEntry(program, settings)
    await waitForCondition(entry.clock, Infinity, POLL_MS, async () => await isReadyAt(settings.listen.readiness))
    return entry
  }

  /** @returns the processor time that the process takes without requests, in cores */
  async measureIdle (seconds: number): Promise<number> {
    const cpuBefore = await this.program.readCpuSeconds()
    await waitUntil(this.clock, this.clock.now() + seconds * MS_PER_SECOND)
    return (await this.program.readCpuSeconds() - cpuBefore) / seconds
  }

  /** Sends requests at a rate and reads what they took. */
  async measure (rate: number, seconds: number): Promise<LoadFigure> {
    const cpuBefore = await this.program.readCpuSeconds()
    const startedAt = this.clock.now()
    const { requests, failed } = await this.sendLoad(rate, seconds * MS_PER_SECOND)
    return { requests, failed, cpuSeconds: await this.program.readCpuSeconds() - cpuBefore, seconds: (this.clock.now() - startedAt) / MS_PER_SECOND }
  }

  close (): void {
    this.agent.destroy()
  }

  /** Sends requests at a rate. */
  async sendLoad (rate: number, spanMs: number): Promise<{ requests: number, failed: number }> {
    const options = { clock: this.clock, random: this.random, ratePerSecond: rate, maxOperations: Infinity, startUntil: createDeadline(this.clock.now(), spanMs), maxOpen: MOST_OPEN, pacing: ArrivalPacing.Timer }
    let failed = 0
    const { started, skipped } = await runOpenLoop(options, async () => { if (!await this.sendOne()) failed++ })
    return { requests: started, failed: failed + skipped }
  }

  private async sendOne (): Promise<boolean> {
    const id = `request-${++this.sequence}`
    const object = String(this.sequence % OBJECTS)
    try {
      const answer = await sendCall(this.settings.listen.callers, { path: `/a/${object}`, method: 'POST', id, key: object, body: 'b'.repeat(BODY_BYTES), agent: this.agent })
      return answer.status === 200
    } catch {
      // Counted as failed; too many of these make the measurement invalid.
      return false
    }
  }
}

async function startRecords (closing: CloseStack): Promise<PlatformRecords> {
  const records = new PlatformRecords({ 'north-1': 'north' })
  closing.add(records.store)
  for (let index = 0; index < WORKERS; index++) {
    const worker = closing.add(new PlatformWorkerStandIn(`w-${index}`))
    worker.workMs = WORK_MS
    worker.body = 'a'.repeat(BODY_BYTES)
    records.putWorker({ id: worker.id, service: 'archive', domain: 'north-1', address: await worker.listen() })
  }
  records.putConfiguration([{ Name: 'archive', Prefix: '/a/', Service: 'archive', Kind: 'non_idempotent' }])
  return records
}

async function run ({ rate, seconds }: MeasureOptions): Promise<string | undefined> {
  const closing = new CloseStack()
  const folder = mkdtempSync(join(tmpdir(), 'umberspar-entry-'))
  try {
    const records = await startRecords(closing)
    const silent = closing.add(await MeasuredEntry.start(records, folder, LogLevel.Error, closing))
    const logging = closing.add(await MeasuredEntry.start(records, folder, LogLevel.Info, closing))
    const idleCores = await logging.measureIdle(seconds)
    for (const entry of [silent, logging]) await entry.sendLoad(rate, WARM_UP_MS)
    const [withoutLogs, withLogs] = [createTotal(), createTotal()]
    const turns = [{ entry: silent, total: withoutLogs }, { entry: logging, total: withLogs }]
    // By turns, each first as often as second: what else runs on the machine weighs on both alike.
    for (let round = 0; round < ROUNDS; round++) {
      for (const { entry, total } of turns) addFigure(total, await entry.measure(rate, seconds))
      turns.reverse()
    }
    const [silentMs, loggingMs] = [computeRequestMs(withoutLogs, idleCores), computeRequestMs(withLogs, idleCores)]
    printFigures('entry', [{ 'idle, cores': idleCores, 'ms a request': loggingMs, 'without logs': silentMs, ratio: loggingMs / silentMs, requests: withLogs.requests }])
    const failedPart = (withLogs.failed + withoutLogs.failed) / (withLogs.requests + withoutLogs.requests)
    return failedPart > MOST_FAILED ? `${(failedPart * 100).toFixed(1)} % of the requests failed` : undefined
  } finally {
    await closing.close()
    rmSync(folder, { recursive: true })
  }
}

function createTotal (): LoadFigure {
  return { requests: 0, failed: 0, cpuSeconds: 0, seconds: 0 }
}

function addFigure (total: LoadFigure, figure: LoadFigure): void {
  total.requests += figure.requests
  total.failed += figure.failed
  total.cpuSeconds += figure.cpuSeconds
  total.seconds += figure.seconds
}

/** @returns processor time of one request, what an idle process takes left out, in milliseconds */
function computeRequestMs ({ requests, cpuSeconds, seconds }: LoadFigure, idleCores: number): number {
  return (cpuSeconds - idleCores * seconds) * MS_PER_SECOND / requests
}

/** The measurement's entry in the table. */
export const ENTRY_MEASUREMENT: Measurement = {
  summary: 'processor time of an entry process on the users\' platform: idle, for a request, and what logs add',
  defaultRate: 150,
  run
}
