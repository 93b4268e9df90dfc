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
const NO_TIMEOUT = 0

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
    this.client = new Client(this.url.origin, { headersTimeout: NO_TIMEOUT, bodyTimeout: NO_TIMEOUT, maxResponseSize: MAX_BODY_BYTES })
  }

  async fetch (deadline: Deadline): Promise<Result<VmListSnapshot, StepError>> {
    if (hasPassed(deadline, this.clock.now())) return this.createError(ErrorCode.DeadlinePassed, 'the deadline had passed')
    const abortController = new AbortController()
    const timer = this.clock.schedule(deadline, () => { abortController.abort(new Error('the deadline passed')) })
    try {
      const response = await this.client.request({ method: 'GET', path: this.url.pathname + this.url.search, signal: abortController.signal })
      return await this.parseResponse(response)
    } catch (thrown) {
      return this.createError(ErrorCode.Unavailable, thrown instanceof Error ? thrown.message : String(thrown), thrown)
    } finally {
      timer.close()
    }
  }

  async close (): Promise<void> {
    await this.client.destroy()
  }

  private async parseResponse (response: Dispatcher.ResponseData): Promise<Result<VmListSnapshot, StepError>> {
    // The body is read in any case: a connection with an unread body can't be used again.
    const text = await response.body.text()
    if (response.statusCode !== STATUS_OK) return this.createError(ErrorCode.Unavailable, `status ${response.statusCode}`)
    try {
      return Ok(vmListSchema.parse(JSON.parse(text)))
    } catch (thrown) {
      return this.createError(ErrorCode.Invalid, 'the answer is not a list of VMs', thrown)
    }
  }

  private createError (code: ErrorCode, message: string, cause?: unknown): Result<VmListSnapshot, StepError> {
    return Err(new StepError({ code, step: FETCH_STEP, peer: this.url.host, message, cause }))
  }
}
