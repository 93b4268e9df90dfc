/** What the tools ask of the operators' listeners. */
import { Agent } from 'undici'
import type { IClosable } from '@umberspar/base/common/closing'

/** One drain as a daemon sees it. */
export interface DrainView {
  readonly kind: string
  readonly target: string
  readonly weight: number
  readonly inFlight: number
  readonly isSafeToStop: boolean
}

/** The answer to a patch. */
export interface PatchAnswer {
  readonly status: number
  /** The new version; undefined if the patch was refused. */
  readonly version: number | undefined
  readonly text: string
}

/** A patch of the configuration. */
export interface PatchCall {
  readonly baseVersion: number
  readonly changeId: string
  /** JSON Merge Patch. */
  readonly patch: object
  readonly note: string
}

interface CallAnswer {
  readonly status: number
  readonly text: string
}

const CALL_WITHIN_MS = 10_000
/** A connection that ended before the answer began. */
const ENDED_CODES: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET'])

/** Speaks to operators' listeners by `host:port`. */
export class OperatorCalls implements IClosable {
  private readonly agent = new Agent({ keepAliveTimeout: CALL_WITHIN_MS })

  /**
   * @param address a daemon's operators' listener
   * @returns the version in force there; 0 for none
   */
  async readVersion (address: string): Promise<number> {
    const { text } = await this.call(address, 'GET', '/v1/status')
    return (JSON.parse(text) as { configurationVersion: number }).configurationVersion
  }

  /**
   * @param address a daemon's operators' listener
   * @returns how many entry VMs it takes for live
   */
  async countLive (address: string): Promise<number> {
    const { text } = await this.call(address, 'GET', '/v1/fleet')
    const { nodes } = JSON.parse(text) as { nodes: Array<{ state: string }> }
    return nodes.filter(({ state }) => state === 'live').length
  }

  /**
   * @param address a daemon's operators' listener
   * @returns the drains it knows
   */
  async listDrains (address: string): Promise<readonly DrainView[]> {
    const { text } = await this.call(address, 'GET', '/v1/drains')
    return (JSON.parse(text) as { drains: DrainView[] }).drains
  }

  /**
   * @param address a daemon's operators' listener
   * @param call the patch
   * @returns whether it was accepted
   */
  async patch (address: string, call: PatchCall): Promise<PatchAnswer> {
    const { status, text } = await this.call(address, 'POST', '/v1/config/patches', call)
    const version = status === 200 ? (JSON.parse(text) as { head: { version: number } }).head.version : undefined
    return { status, version, text }
  }

  async close (): Promise<void> {
    await this.agent.destroy()
  }

  /**
   * On a starved thread a listener may end a kept connection as idle while a call is
   * on its way. Sent once more, no call does harm: they are reads, and patches with
   * an id of their change.
   */
  private async call (address: string, method: 'GET' | 'POST', path: string, body?: object): Promise<CallAnswer> {
    try {
      return await this.send(address, method, path, body)
    } catch (thrown) {
      if (!ENDED_CODES.has(String((thrown as NodeJS.ErrnoException).code))) throw thrown
      return await this.send(address, method, path, body)
    }
  }

  private async send (address: string, method: 'GET' | 'POST', path: string, body?: object): Promise<CallAnswer> {
    const response = await this.agent.request({
      origin: `http://${address}`,
      path,
      method,
      headers: body === undefined ? {} : { 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body),
      headersTimeout: CALL_WITHIN_MS
    })
    return { status: response.statusCode, text: await response.body.text() }
  }
}
