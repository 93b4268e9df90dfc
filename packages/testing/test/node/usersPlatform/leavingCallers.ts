/** Callers that leave while the entry process, which shares this thread, can't run. */
import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import type { IClosable } from '@umberspar/base/common/closing'
import type { PipelinedCall } from '../../../src/node/standIns/usersPlatform/pipelinedCaller.js'

/** How the callers leave. */
export enum Departure {
  Close = 'close',
  Reset = 'reset',
  /** Ends its sending side only. */
  HalfClose = 'half-close',
  /** Stays connected although its deadline has passed. */
  Stay = 'stay'
}

/** Positions of the flags that both threads share. */
export enum FlagIndex {
  /** Set when the callers have left. */
  Left = 0,
  /** Set when the entry process has begun an attempt at a worker. */
  Attempted = 1
}

/** What the callers' thread does next. */
export interface CallerOrder {
  /** Whether the callers only open connections and have one request each answered. */
  readonly opensKept: boolean
  /** Connections to use; those opened by the warm-up first. */
  readonly connections: number
  /** The requests of each connection. */
  readonly calls: ReadonlyArray<readonly PipelinedCall[]>
  readonly departure: Departure
  /** Whether the callers leave only after an attempt at a worker has begun. */
  readonly waitsForAttempt: boolean
}

/** What the callers' thread is started with. */
export interface ThreadInput {
  readonly address: string
  readonly flags: SharedArrayBuffer
}

const FLAGS = 2
const MOST_BLOCKED_MS = 20_000

/** The callers' thread. */
export class LeavingCallers implements IClosable {
  private readonly buffer = new SharedArrayBuffer(FLAGS * Int32Array.BYTES_PER_ELEMENT)
  private readonly flags = new Int32Array(this.buffer)
  private readonly thread: Worker

  /** @param address `host:port` of the callers' listener */
  constructor (address: string) {
    this.thread = new Worker(new URL('./leavingCallersThread.js', import.meta.url), { workerData: { address, flags: this.buffer } satisfies ThreadInput })
  }

  /** Opens connections that the entry process keeps; resolved when one request of each has been answered. */
  async openKept (calls: readonly PipelinedCall[]): Promise<void> {
    this.thread.postMessage({ opensKept: true, connections: calls.length, calls: [calls], departure: Departure.Stay, waitsForAttempt: false } satisfies CallerOrder)
    await once(this.thread, 'message')
  }

  /** Sends requests and blocks this thread until their callers have left, so that the entry process reads them afterwards. */
  sendWhileBlocked (calls: ReadonlyArray<readonly PipelinedCall[]>, departure: Departure): void {
    this.thread.postMessage({ opensKept: false, connections: calls.length, calls, departure, waitsForAttempt: false } satisfies CallerOrder)
    this.waitUntilLeft()
  }

  /** Sends requests whose callers leave once {@link LeavingCallers.holdAttempt} is called. */
  send (calls: ReadonlyArray<readonly PipelinedCall[]>): void {
    this.thread.postMessage({ opensKept: false, connections: calls.length, calls, departure: Departure.Close, waitsForAttempt: true } satisfies CallerOrder)
  }

  /** Blocks this thread, which has just begun an attempt, until the callers have left. */
  holdAttempt (): void {
    Atomics.store(this.flags, FlagIndex.Attempted, 1)
    Atomics.notify(this.flags, FlagIndex.Attempted)
    this.waitUntilLeft()
  }

  private waitUntilLeft (): void {
    Atomics.wait(this.flags, FlagIndex.Left, 0, MOST_BLOCKED_MS)
  }

  async close (): Promise<void> {
    await this.thread.terminate()
  }
}
