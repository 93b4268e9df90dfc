/** The waits of one request: for a newer proof that the records are current, and for a place at a worker. */
import type { Instant } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { Deadline } from '@umberspar/base/common/deadline'
import { computeWaitDeadline, shouldWait } from '@umberspar/steering/common/entry/admission/placeWait'
import type { BufferedRequest } from './bufferedRequest.js'
import type { EntryContext } from './entryContext.js'
import { buildRank } from './requestAdmission.js'

/** The waits of one request. */
export class RequestWaits implements IClosable {
  /** When the request gives up waiting for a newer proof; undefined if it has not waited yet. */
  private proofDeadline: Deadline | undefined
  /** When it gives up waiting for a place; undefined if it has not waited yet. */
  private placeDeadline: Deadline | undefined
  private placeWait: IClosable | undefined

  /**
   * @param context the shared services of the process
   * @param request the request
   * @param resume decides the request again
   */
  constructor (private readonly context: EntryContext, private readonly request: BufferedRequest, private readonly resume: () => void) {}

  /** @returns whether the request waits, or has waited, for a place */
  get hasWaitedForPlace (): boolean {
    return this.placeWait !== undefined
  }

  /** @returns whether the request waits for a newer proof */
  waitForProof (): boolean {
    const { proofWaiter } = this.context
    this.proofDeadline ??= proofWaiter.createDeadline()
    return proofWaiter.wait(this.proofDeadline, this.resume)
  }

  /**
   * @param service the service that has no place now
   * @param placeAt when the first place is expected
   * @param deadline an answer after this instant has no value
   * @param now when it was found that there is no place; the place may have come since then
   * @returns whether the request waits for the place
   */
  waitForPlace (service: string, placeAt: Instant, deadline: Deadline, now: Instant): boolean {
    const { view, placeWaiter } = this.context
    const { route, body } = this.request
    this.placeDeadline ??= computeWaitDeadline(now, route.goalMs, deadline, view.getServiceTimes(route, service).getServiceTimeMs(true))
    if (!shouldWait({ now, placeAt, waitDeadline: this.placeDeadline })) return false
    this.placeWait = placeWaiter.hold({ service, rank: buildRank(this.context, this.request), deadline, bodyBytes: body.length, resume: this.resume }, placeAt)
    return this.placeWait !== undefined
  }

  /** Gives up the place in the order of those that wait. */
  close (): void {
    this.placeWait?.close()
  }
}
