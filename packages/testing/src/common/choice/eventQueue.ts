/** Events of simulated time in the order of their instants: a binary heap. */
import type { Instant } from '@umberspar/base/common/clock'

interface QueuedEvent {
  readonly at: Instant
  readonly run: () => void
}

/** Runs events in order; an event may add others. */
export class EventQueue {
  private readonly heap: QueuedEvent[] = []
  private current: Instant = 0

  /** @returns the instant of the event that runs */
  now (): Instant {
    return this.current
  }

  /**
   * @param at when, not before the present
   * @param run what happens then
   */
  schedule (at: Instant, run: () => void): void {
    const { heap } = this
    let index = heap.push({ at, run }) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (heap[parent]!.at <= at) break
      this.exchange(index, parent)
      index = parent
    }
  }

  /** Runs everything that happens before an instant. */
  runUntil (end: Instant): void {
    for (let first = this.heap[0]; first !== undefined && first.at < end; first = this.heap[0]) {
      this.removeFirst()
      this.current = first.at
      first.run()
    }
  }

  private removeFirst (): void {
    const { heap } = this
    const last = heap.pop()!
    if (heap.length === 0) return
    heap[0] = last
    let index = 0
    for (;;) {
      const left = 2 * index + 1
      const right = left + 1
      let least = index
      if (left < heap.length && heap[left]!.at < heap[least]!.at) least = left
      if (right < heap.length && heap[right]!.at < heap[least]!.at) least = right
      if (least === index) return
      this.exchange(index, least)
      index = least
    }
  }

  private exchange (one: number, other: number): void {
    const held = this.heap[one]!
    this.heap[one] = this.heap[other]!
    this.heap[other] = held
  }
}
