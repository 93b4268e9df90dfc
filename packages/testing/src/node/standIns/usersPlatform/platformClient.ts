/** A client of the users' platform: sends requests and looks up entry VMs as the platform's clients do. */
import { type Agent, request as sendRequest, type IncomingHttpHeaders } from 'node:http'
import { PLATFORM_HOST } from './platformRecords.js'

/** A client's request. */
export interface ClientCall {
  readonly path: string
  readonly method?: string
  readonly id?: string
  readonly key?: string
  readonly deadlineMs?: number
  readonly body?: string
  readonly headers?: Record<string, string>
  /** Closes the connection when aborted. */
  readonly signal?: AbortSignal
  /** Reuses connections; without it each request opens its own. */
  readonly agent?: Agent
}

/** The response that a client received. */
export interface ClientAnswer {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: string
}

const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])
const DENIED_STATUSES: ReadonlySet<number> = new Set([400, 401, 403, 404, 413, 431])
const CONFIGURATION_GAUGE = /umberspar_configuration_version (\d+)/
const EXCHANGE_GAUGE = /^umberspar_exchange_rows (\d+)/m

/**
 * Sends a client's request.
 * @param address `host:port` of an entry VM
 */
export async function sendCall (address: string, { path, method = 'GET', id = 'request', key, deadlineMs = 3_000, body, headers = {}, signal, agent }: ClientCall): Promise<ClientAnswer> {
  const cookie: Record<string, string> = key === undefined ? {} : { Cookie: `X-Umberspar-Affinity-Key=${key}` }
  const fields = { Host: PLATFORM_HOST, 'X-Umberspar-Request-Id': id, 'X-Umberspar-Deadline-Ms': String(deadlineMs), ...cookie, ...headers }
  return await send(address, { path, method, headers: fields, body, signal, agent })
}

/** @returns whether a status guarantees that the request has not run and never will */
export function isPromisedNotRun (status: number): boolean {
  return NOT_RUN_STATUSES.has(status)
}

/** @returns whether a status rejects the request for good, so that it is not retried */
export function isDenied (status: number): boolean {
  return DENIED_STATUSES.has(status)
}

/** Sends a GET request to a listener. */
export async function askAt (address: string, path: string, signal?: AbortSignal): Promise<ClientAnswer> {
  return await send(address, { path, method: 'GET', headers: {}, signal })
}

/** @returns whether an entry VM reports that it is ready; false if it does not respond */
export async function isReadyAt (address: string, signal?: AbortSignal): Promise<boolean> {
  try {
    return (await askAt(address, '/umberspar/readyz', signal)).status === 200
  } catch {
    // The process is starting, stopped or paused; callers poll.
    return false
  }
}

/** @returns the version of the configuration that an entry VM's metrics show; NaN if they show none */
export async function fetchConfigurationVersion (metricsAddress: string, signal?: AbortSignal): Promise<number> {
  const { body } = await askAt(metricsAddress, '/metrics', signal)
  return Number(CONFIGURATION_GAUGE.exec(body)?.[1])
}

/** @returns how many rows of other VMs an entry VM's metrics show; NaN if they show none */
export async function fetchExchangeRows (metricsAddress: string): Promise<number> {
  const { body } = await askAt(metricsAddress, '/metrics')
  return Number(EXCHANGE_GAUGE.exec(body)?.[1])
}

/** Looks up entry VMs as a client does. @returns their addresses */
export async function lookUpAt (address: string, region: string, domain: string, signal?: AbortSignal): Promise<string[]> {
  const { status, body } = await askAt(address, `/umberspar/resolve?Name=${PLATFORM_HOST}&Region=${region}&Zone=${domain}`, signal)
  return status === 200 ? (JSON.parse(body) as { Addrs: string[] }).Addrs : []
}

/** @returns the request id that the worker echoed in its response */
export function getAnsweredId ({ headers }: ClientAnswer): string {
  return String(headers['x-umberspar-request-id'])
}

/** @returns the worker that announced a rate limit in an answer; undefined if none did */
export function getLimitedWorker ({ headers }: ClientAnswer): string | undefined {
  const workerId = headers['x-umberspar-instance-id']
  return headers['x-umberspar-server-limit'] !== undefined && typeof workerId === 'string' ? workerId : undefined
}

/** @returns the worker's seal on an answer; undefined if it has none */
export function getSeal ({ headers }: ClientAnswer): string | undefined {
  return headers['x-umberspar-server-seal'] as string | undefined
}

interface RawCall {
  readonly path: string
  readonly method: string
  readonly headers: Record<string, string>
  readonly body?: string
  readonly signal?: AbortSignal
  readonly agent?: Agent
}

async function send (address: string, { path, method, headers, body, signal, agent }: RawCall): Promise<ClientAnswer> {
  const [host, port] = address.split(':')
  return await new Promise((resolve, reject) => {
    const request = sendRequest({ host, port, path, method, headers, agent: agent ?? false, signal }, (response) => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => { chunks.push(chunk) })
      response.on('end', () => { resolve({ status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks).toString() }) })
      response.on('error', reject)
    })
    request.on('error', reject)
    request.end(body)
  })
}
