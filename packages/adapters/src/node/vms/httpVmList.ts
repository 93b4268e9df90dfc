/** The platform's list of VMs, read by HTTP. */
import { Client } from 'undici'
import type { Dispatcher } from 'undici'
import type { IClock } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import { hasPassed } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { Result } from '@umberspar/base/common/result'
import { Err, Ok } from '@umberspar/base/common/result'
import type { IVmList, VmListSnapshot } from '@umberspar/steering/common/ports/vmList'
import { vmListSchema } from './vmListSchema.js'

const FETCH_STEP = 'fetch-vm-list'
const STATUS_OK = 200
/** About fifteen times the list of the largest fleet planned for (some 250 bytes a VM). */
const MAX_BODY_BYTES = 33_554_432
const NO_LIMIT = 0

/** What an HttpVmList needs. */
export interface HttpVmListOptions {
  /** Answers a VmListSnapshot as JSON. */
  readonly url: string
  readonly clock: IClock
}

/** An IVmList over one HTTP connection. */
export class HttpVmList implements IVmList {
  private readonly url: URL
  private readonly clock: IClock
  private readonly client: Client

  constructor (options: HttpVmListOptions) {
    this.url = new URL(options.url)
    this.clock = options.clock
    this.client = new Client(this.url.origin, { headersTimeout: NO_LIMIT, bodyTimeout: NO_LIMIT, maxResponseSize: MAX_BODY_BYTES })
  }

  async fetch (deadline: Deadline): Promise<Result<VmListSnapshot, StepError>> {
    if (hasPassed(deadline, this.clock.now())) return this.createFailure(ErrorCode.DeadlinePassed, 'the deadline had passed')
    const aborter = new AbortController()
    const timer = this.clock.schedule(deadline, () => { aborter.abort(new Error('the deadline passed')) })
    try {
      const answer = await this.client.request({ method: 'GET', path: this.url.pathname + this.url.search, signal: aborter.signal })
      return await this.parseAnswer(answer)
    } catch (thrown) {
      return this.createFailure(ErrorCode.Unavailable, thrown instanceof Error ? thrown.message : String(thrown), thrown)
    } finally {
      timer.close()
    }
  }

  async close (): Promise<void> {
    await this.client.destroy()
  }

  private async parseAnswer (answer: Dispatcher.ResponseData): Promise<Result<VmListSnapshot, StepError>> {
    // The body is read in any case: a connection with an unread body can't be used again.
    const text = await answer.body.text()
    if (answer.statusCode !== STATUS_OK) return this.createFailure(ErrorCode.Unavailable, `status ${answer.statusCode}`)
    try {
      return Ok(vmListSchema.parse(JSON.parse(text)))
    } catch (thrown) {
      return this.createFailure(ErrorCode.Invalid, 'the answer is not a list of VMs', thrown)
    }
  }

  private createFailure (code: ErrorCode, message: string, cause?: unknown): Result<VmListSnapshot, StepError> {
    return Err(new StepError({ code, step: FETCH_STEP, peer: this.url.host, message, cause }))
  }
}
