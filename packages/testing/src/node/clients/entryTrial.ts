/**
 * One entry process whose machine has little memory and few descriptors, and what a crowd of
 * clients does to it.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { CloseStack, type IClosable } from '@umberspar/base/common/closing'
import type { EntrySettings } from '@umberspar/entry/common/entrySettings'
import { findEntryAddresses, spawnEntry } from '../standIns/usersPlatform/entryProgram.js'
import { type ClientAnswer, type ClientCall, isReadyAt, sendCall } from '../standIns/usersPlatform/platformClient.js'
import { type CallerLimits, PlatformRecords } from '../standIns/usersPlatform/platformRecords.js'
import { PlatformWorkerStandIn } from '../standIns/usersPlatform/platformWorkerStandIn.js'
import { ORDINARY_DEADLINE_MS, ProcessTrial } from './trial.js'

const DOMAIN = 'north-1'
const SERVICE = 'archive'
/** A connection that is neither answered nor closed is given up. */
const EXCHANGE_TIMEOUT_MS = 10_000

/** One entry process, its store and its workers. */
export class EntryTrial extends ProcessTrial implements IClosable {
  private readonly closing = new CloseStack()
  private readonly folder = mkdtempSync(join(tmpdir(), 'umberspar-clients-'))
  readonly worker = new PlatformWorkerStandIn('w-1')
  /** All workers. */
  readonly workers = [this.worker]
  settings!: EntrySettings

  /**
   * Starts the process and waits until it is ready.
   * @param limits the limits of callers; those of the stand-in by default
   * @param workers number of workers
   */
  async start (limits?: CallerLimits, workers = 1): Promise<void> {
    const { memoryMb, maxDescriptors } = this.machine
    const records = new PlatformRecords({ [DOMAIN]: 'north' })
    this.closing.add(records.store)
    while (this.workers.length < workers) this.workers.push(new PlatformWorkerStandIn(`w-${this.workers.length + 1}`))
    for (const worker of this.workers) {
      this.closing.add(worker)
      records.putWorker({ id: worker.id, service: SERVICE, domain: DOMAIN, address: await worker.listen() })
    }
    if (limits !== undefined) records.callerLimits = limits
    records.putConfiguration([{ Name: 'lookups', Prefix: '/a/', Service: SERVICE, Sticky: false, Timeout: '10s' }, { Name: 'uploads', Prefix: '/up/', Service: SERVICE, Kind: 'upload', Sticky: false, Timeout: '10s' }])
    const store = await records.store.addListener().listen()
    this.settings = { ...records.createSettings('vm-1', DOMAIN, await findEntryAddresses(store)), memoryMb, maxDescriptors }
    const file = join(this.folder, 'vm-1.json')
    writeFileSync(file, JSON.stringify(this.settings))
    await this.watch(this.closing.add(spawnEntry(file, this.buildOptions())), async () => await isReadyAt(this.settings.listen.readiness))
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

  protected override async fetchStatus (): Promise<number> {
    try {
      return (await this.call({ path: '/a/1', id: 'ordinary', deadlineMs: ORDINARY_DEADLINE_MS, signal: AbortSignal.timeout(ORDINARY_DEADLINE_MS) })).status
    } catch {
      return 0
    }
  }
}
