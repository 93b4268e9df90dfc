/** Asking again and again until something has happened. */
import type { IClock } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import { hasPassed } from '@umberspar/base/common/deadline'
import { waitUntil } from '../waiting.js'

/**
 * Asks again and again until the answer is yes.
 * @param clock the source of time
 * @param deadline when to give up
 * @param pollMs the span between two questions
 * @param isDone the question
 * @returns whether the answer was yes before the deadline
 */
export async function waitForCondition (
  clock: IClock,
  deadline: Deadline,
  pollMs: number,
  isDone: () => Promise<boolean> | boolean
): Promise<boolean> {
  while (!hasPassed(deadline, clock.now())) {
    if (await isDone()) return true
    await waitUntil(clock, Math.min(deadline, clock.now() + pollMs))
  }
  return isDone()
}
