/** A worker's slots with the bounded queue before them. */

/** How a wait for a slot ended. */
export enum SlotAnswer {
  Granted = 'granted',
  /** No slot is free and the queue is full. */
  Full = 'full',
  /** The signal was aborted before a slot came free. */
  Abandoned = 'abandoned'
}

/** Grants slots in the order of asking. */
export class SlotQueue {
  private readonly waiting = new Set<() => void>()
  private running = 0
  private peakRunning = 0
  private peakWaiting = 0

  /**
   * @param slots how many run at a time
   * @param maxQueue how many may wait
   */
  constructor (private readonly slots: number, private readonly maxQueue: number) {}

  /** @returns slots taken at present */
  countRunning (): number {
    return this.running
  }

  /** @returns requests that wait for a slot */
  countWaiting (): number {
    return this.waiting.size
  }

  /** @returns the most slots that were ever taken at a time */
  getPeakRunning (): number {
    return this.peakRunning
  }

  /** @returns the most requests that ever waited at a time */
  getPeakWaiting (): number {
    return this.peakWaiting
  }

  /** @returns whether one more request would be turned away */
  isFull (): boolean {
    return this.running >= this.slots && this.waiting.size >= this.maxQueue
  }

  /**
   * @param signal ends the wait when aborted
   * @param isProbe probes wait even if the queue is full
   * @returns how the wait ended; a granted slot must be released
   */
  acquire (signal: AbortSignal, isProbe = false): Promise<SlotAnswer> {
    if (signal.aborted) return Promise.resolve(SlotAnswer.Abandoned)
    if (this.running < this.slots) {
      this.takeSlot()
      return Promise.resolve(SlotAnswer.Granted)
    }
    if (this.isFull() && !isProbe) return Promise.resolve(SlotAnswer.Full)
    return this.waitForSlot(signal)
  }

  /** Gives a slot back; the request that waited longest gets it. */
  release (): void {
    this.running -= 1
    const [grantFirst] = this.waiting
    if (grantFirst !== undefined) grantFirst()
  }

  private waitForSlot (signal: AbortSignal): Promise<SlotAnswer> {
    return new Promise((resolve) => {
      const onAbort = (): void => {
        this.waiting.delete(acceptSlot)
        resolve(SlotAnswer.Abandoned)
      }
      const acceptSlot = (): void => {
        this.waiting.delete(acceptSlot)
        signal.removeEventListener('abort', onAbort)
        this.takeSlot()
        resolve(SlotAnswer.Granted)
      }
      this.waiting.add(acceptSlot)
      this.peakWaiting = Math.max(this.peakWaiting, this.waiting.size)
      signal.addEventListener('abort', onAbort, { once: true })
    })
  }

  private takeSlot (): void {
    this.running += 1
    this.peakRunning = Math.max(this.peakRunning, this.running)
  }
}
