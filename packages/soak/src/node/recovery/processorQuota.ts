/**
 * Limits the processor time of processes, as a quota of the platform does: a process runs at full speed until
 * its quota of a period is used up, and then not at all until the next one.
 */
import { Worker } from 'node:worker_threads'
import type { IClosable } from '@umberspar/base/common/closing'

/** What the thread is told. */
export interface QuotaOrder {
  /** The processes to limit from now on. */
  readonly pids: readonly number[]
  /** Share of one core; undefined for no limit. */
  readonly share: number | undefined
}

/** Limits processes until closed. */
export class ProcessorQuota implements IClosable {
  private readonly thread = new Worker(new URL('./processorQuotaThread.js', import.meta.url))

  /** @param order the processes and their quota; replaces the order before */
  setLimit (order: QuotaOrder): void {
    this.thread.postMessage(order)
  }

  /** Lets all processes run again and ends the thread. */
  async close (): Promise<void> {
    const ended = new Promise<void>((resolve) => { this.thread.once('exit', () => { resolve() }) })
    this.thread.postMessage(undefined)
    await ended
  }
}
