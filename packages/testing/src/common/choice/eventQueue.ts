/** A queue of events in simulated time, as a binary heap ordered by time. */
import type { Instant } from '@umberspar/base/common/clock'

interface ScheduledEvent {
  readonly at: Instant
  readonly run: () => void
}

/** Runs scheduled events in order of time; an event may schedule others. */
export class EventQueue {
  private readonly heap: ScheduledEvent[] = []
  private currentInstant: Instant = 0

  /** @returns the current simulated time: the instant of the event that is running */
  now (): Instant {
    return this.currentInstant
  }

  /**
   * @param at the instant at which to run the event, not earlier than now
   * @param run runs the event
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

  /**
   * Runs all events scheduled before an instant.
   * @param end the instant, exclusive
   */
  runUntil (end: Instant): void {
    for (let next = this.heap[0]; next !== undefined && next.at < end; next = this.heap[0]) {
      this.removeFirst()
      this.currentInstant = next.at
      next.run()
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
      let smallest = index
      if (left < heap.length && heap[left]!.at < heap[smallest]!.at) smallest = left
      if (right < heap.length && heap[right]!.at < heap[smallest]!.at) smallest = right
      if (smallest === index) return
      this.exchange(index, smallest)
      index = smallest
    }
  }

  private exchange (oneIndex: number, otherIndex: number): void {
    const oneEvent = this.heap[oneIndex]!
    this.heap[oneIndex] = this.heap[otherIndex]!
    this.heap[otherIndex] = oneEvent
  }
}
