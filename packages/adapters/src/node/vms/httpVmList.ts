/** Reads the platform's VM list over HTTP. */
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
/** About 15 times the size of the list for the largest planned fleet, at about 250 bytes per VM. */
const MAX_BODY_BYTES = 33_554_432
/** Disables undici's own timeouts: the caller's deadline applies instead. */
const NO_TIMEOUT = 0

/** Options of {@link HttpVmList}. */
export interface HttpVmListOptions {
  /** Serves a {@link VmListSnapshot} as JSON. */
  readonly url: string
  readonly clock: IClock
}

/** Implements {@link IVmList} over one HTTP connection. */
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
    if (hasPassed(deadline, this.clock.now())) return this.createError(ErrorCode.DeadlinePassed, 'the deadline passed before the request')
    const abortController = new AbortController()
    const timer = this.clock.schedule(deadline, () => { abortController.abort(new Error('the deadline passed during the request')) })
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
    // Always read the body: a connection with an unread body can't be reused.
    const text = await response.body.text()
    if (response.statusCode !== STATUS_OK) return this.createError(ErrorCode.Unavailable, `the server responded with status ${response.statusCode}`)
    try {
      return Ok(vmListSchema.parse(JSON.parse(text)))
    } catch (thrown) {
      return this.createError(ErrorCode.Invalid, 'the response is not a valid VM list', thrown)
    }
  }

  private createError (code: ErrorCode, message: string, cause?: unknown): Result<VmListSnapshot, StepError> {
    return Err(new StepError({ code, step: FETCH_STEP, peer: this.url.host, message, cause }))
  }
}
