/** Fakes the operators' listeners of daemons that share one configuration. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Instant } from '@umberspar/base/common/clock'
import { SystemClock } from '@umberspar/base/node/systemClock'
import type { CliIo } from '../../src/node/cliIo.js'
import { runCli } from '../../src/node/runCli.js'

/** The configuration and its history, shared by the fake daemons. */
export interface FakeStore {
  version: number
  changeId: string
  body: Record<string, unknown>
  entries: Array<{ version: number, changeId: string, baseVersion: number, note: string, atWallMs: number }>
}

/** A patch request that a fake daemon received. */
export interface ReceivedPatch {
  readonly baseVersion: number
  readonly changeId: string
  readonly patch: Record<string, unknown>
  readonly note: string
}

/** Handles a request and returns true, or returns false for the default answer. */
export type RequestOverride = (request: IncomingMessage, response: ServerResponse, store: FakeStore, received: ReceivedPatch | undefined) => boolean

/** Creates a store at the given version, with one change in its history. */
export function createStore (version: number, body: Record<string, unknown>): FakeStore {
  const changeId = `change-${version}`
  return { version, changeId, body, entries: [{ version, changeId, baseVersion: version - 1, note: 'before', atWallMs: 0 }] }
}

/** Applies a change as the next version. */
export function applyChange (store: FakeStore, change: { changeId: string, note: string, patch: Record<string, unknown> }): void {
  store.entries.push({ version: store.version + 1, changeId: change.changeId, baseVersion: store.version, note: change.note, atWallMs: 0 })
  store.version += 1
  store.changeId = change.changeId
  store.body = { ...store.body, ...change.patch }
}

/** Sends a JSON response, as a problem document for an error status. */
export function answerJson (response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': status < 400 ? 'application/json' : 'application/problem+json' })
  response.end(JSON.stringify(value))
}

function getHead (store: FakeStore): object {
  return { version: store.version, changeId: store.changeId, digest: 'd'.repeat(16) }
}

/** A fake daemon. */
export class FakeDaemon {
  /** The requests that it received, as `METHOD path`. */
  readonly requestLines: string[] = []
  readonly patches: ReceivedPatch[] = []
  /** Builds the answers for further paths, by path. */
  readonly answers = new Map<string, () => unknown>()
  override: RequestOverride = () => false
  private readonly server: Server
  private port = 0

  constructor (private readonly store: FakeStore) {
    this.server = createServer((request, response) => { this.handle(request, response) })
  }

  /** @returns its `host:port` */
  get address (): string {
    return `127.0.0.1:${this.port}`
  }

  async open (): Promise<this> {
    await new Promise<void>((resolve) => { this.server.listen(0, '127.0.0.1', resolve) })
    this.port = (this.server.address() as AddressInfo).port
    return this
  }

  async close (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise<void>((resolve) => { this.server.close(() => resolve()) })
  }

  private handle (request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => { chunks.push(chunk) })
    request.on('end', () => { this.answer(request, response, Buffer.concat(chunks).toString()) })
  }

  private answer (request: IncomingMessage, response: ServerResponse, text: string): void {
    const path = (request.url ?? '').split('?')[0] ?? ''
    this.requestLines.push(`${request.method} ${path}`)
    const received = text === '' ? undefined : JSON.parse(text) as ReceivedPatch
    if (path === '/v1/config/patches' && received !== undefined) this.patches.push(received)
    if (this.override(request, response, this.store, received)) return
    const buildAnswer = this.answers.get(path)
    if (buildAnswer !== undefined) answerJson(response, 200, buildAnswer())
    else if (path === '/v1/config') answerJson(response, 200, { head: getHead(this.store), body: this.store.body })
    else if (path === '/v1/config/history') answerJson(response, 200, { entries: this.store.entries })
    else if (path === '/v1/config/patches' && received !== undefined) this.answerPatch(response, received)
    else answerJson(response, 404, { title: 'not-found', detail: path })
  }

  private answerPatch (response: ServerResponse, received: ReceivedPatch): void {
    const { store } = this
    if (received.baseVersion !== store.version) {
      const conflictingPaths = Object.keys(received.patch)
      answerJson(response, 409, { title: 'stale-base', detail: 'made against a stale version', step: 'patch-configuration', peer: 'local', outcome: 'not-run', baseVersion: received.baseVersion, currentVersion: store.version, conflictingPaths, problems: [] })
      return
    }
    applyChange(store, received)
    answerJson(response, 200, { head: getHead(store) })
  }
}

/** A clock that a test can advance past all deadlines, so that it need not wait for them. */
export class AdjustableClock extends SystemClock {
  private offsetMs = 0

  override now (): Instant {
    return super.now() + this.offsetMs
  }

  override schedule (at: Instant, callback: () => void): ReturnType<SystemClock['schedule']> {
    return super.schedule(at - this.offsetMs, callback)
  }

  /** Advances the clock by a day. */
  setPastAllDeadlines (): void {
    this.offsetMs = 86_400_000
  }
}

/** The exit code and the printed text of a run. */
export interface RunReport {
  readonly exitCode: number
  readonly output: string
  readonly errors: string
}

/**
 * Runs one command line in this process. Change ids are `id-1`, `id-2` and so on.
 * @param argv the arguments
 * @param environment the environment variables
 * @param clock the clock of the run
 */
export async function runCommandLine (argv: readonly string[], environment: Record<string, string> = {}, clock = new AdjustableClock()): Promise<RunReport> {
  const output: string[] = []
  const errors: string[] = []
  let changeCount = 0
  const io: CliIo = {
    terminal: { print: (text) => { output.push(text) }, printError: (text) => { errors.push(text) } },
    clock,
    environment,
    createChangeId: () => `id-${++changeCount}`,
    pollIntervalMs: 1
  }
  const exitCode = await runCli(argv, io)
  return { exitCode, output: output.join('\n'), errors: errors.join('\n') }
}

/** Builds the entry of a node for the answer of `/v1/fleet`. */
export function buildNode (nodeId: string, operatorAddress: string, state = 'live'): object {
  return { nodeId, region: 'klang', failureDomain: 'klang-a', state, callersAddress: operatorAddress, operatorAddress, configurationVersion: 7 }
}
