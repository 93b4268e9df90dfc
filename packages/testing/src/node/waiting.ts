/** Waiting on a clock. */
import type { IClock, Instant } from '@umberspar/base/common/clock'

/**
 * @param clock the clock to wait on
 * @param spanMs from now on, in milliseconds
 * @returns settled once the span is over
 */
export async function waitFor (clock: IClock, spanMs: number): Promise<void> {
  await waitUntil(clock, clock.now() + spanMs)
}

/**
 * @param clock the clock to wait on
 * @param at the instant to wait for
 * @returns settled once the instant is reached, at once if it has passed
 */
export function waitUntil (clock: IClock, at: Instant): Promise<void> {
  if (clock.now() >= at) return Promise.resolve()
  return new Promise((resolve) => {
    const callAgain = (): void => {
      // A system timer may fire a fraction of a millisecond early, or be cut at the longest span it takes.
      if (clock.now() >= at) resolve()
      else clock.schedule(at, callAgain)
    }
    clock.schedule(at, callAgain)
  })
}
