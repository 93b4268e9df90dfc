/** Counts what was sent in any span of a given length. */
import type { Instant } from '@umberspar/base/common/clock'

/** The sends of one worker's requests from this VM. */
export class SendMeter {
  private sentAt: Instant[] = []
  private longestMs = 0

  /** @param now when a request was sent */
  record (now: Instant): void {
    this.sentAt.push(now)
    const from = now - this.longestMs
    if (this.sentAt[0]! <= from) this.sentAt = this.sentAt.filter((at) => at > from)
  }

  /**
   * @param spanMs a span that ends now, in milliseconds
   * @param now the present
   * @returns how many were sent in it
   */
  count (spanMs: number, now: Instant): number {
    this.longestMs = Math.max(this.longestMs, spanMs)
    return this.sentAt.filter((at) => at > now - spanMs).length
  }

  /**
   * @param most what may be sent in any span
   * @param spanMs its length, in milliseconds
   * @param now the present
   * @returns from when one more may be sent, `now` if it may be at once; Infinity if nothing may be sent
   */
  getFreeAt (most: number, spanMs: number, now: Instant): Instant {
    this.longestMs = Math.max(this.longestMs, spanMs)
    if (most <= 0) return Infinity
    const binding = this.sentAt.at(-most)
    return binding === undefined ? now : Math.max(now, binding + spanMs)
  }
}
