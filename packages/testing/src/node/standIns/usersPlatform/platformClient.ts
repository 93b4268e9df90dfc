/** A client of the users' platform: sends requests as the platform's clients do, and asks which entry VMs to use. */
import { type Agent, request as sendRequest, type IncomingHttpHeaders } from 'node:http'
import { PLATFORM_HOST } from './platformRecords.js'

/** A call of a client. */
export interface ClientCall {
  readonly path: string
  readonly method?: string
  readonly id?: string
  readonly key?: string
  readonly deadlineMs?: number
  readonly body?: string
  readonly headers?: Record<string, string>
  /** Leaves when this is aborted. */
  readonly signal?: AbortSignal
  /** Keeps connections; without it each call opens its own. */
  readonly agent?: Agent
}

/** What a client got. */
export interface ClientAnswer {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: string
}

const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])
const DENIED_STATUSES: ReadonlySet<number> = new Set([400, 401, 403, 404, 413, 431])
const CONFIGURATION_GAUGE = /umberspar_configuration_version (\d+)/

/**
 * Sends a client's request.
 * @param address `host:port` of an entry VM
 */
export async function sendCall (address: string, { path, method = 'GET', id = 'request', key, deadlineMs = 3_000, body, headers = {}, signal, agent }: ClientCall): Promise<ClientAnswer> {
  const cookie: Record<string, string> = key === undefined ? {} : { Cookie: `X-Umberspar-Affinity-Key=${key}` }
  const fields = { Host: PLATFORM_HOST, 'X-Umberspar-Request-Id': id, 'X-Umberspar-Deadline-Ms': String(deadlineMs), ...cookie, ...headers }
  return await send(address, { path, method, headers: fields, body, signal, agent })
}

/** @returns whether a status promises that the request has not run and never will */
export function isPromisedNotRun (status: number): boolean {
  return NOT_RUN_STATUSES.has(status)
}

/** @returns whether a status says that a request is not allowed, so that it is not sent again */
export function isDenied (status: number): boolean {
  return DENIED_STATUSES.has(status)
}

/** Asks a listener a question. */
export async function askAt (address: string, path: string, signal?: AbortSignal): Promise<ClientAnswer> {
  return await send(address, { path, method: 'GET', headers: {}, signal })
}

/** @returns whether an entry VM says that it is ready; not while nobody listens there or answers */
export async function isReadyAt (address: string, signal?: AbortSignal): Promise<boolean> {
  try {
    return (await askAt(address, '/umberspar/readyz', signal)).status === 200
  } catch {
    // It is starting, stopped or paused; whoever waits asks again.
    return false
  }
}

/** @returns the version of the configuration that an entry VM's metrics show; NaN if they show none */
export async function fetchConfigurationVersion (metricsAddress: string, signal?: AbortSignal): Promise<number> {
  const { body } = await askAt(metricsAddress, '/metrics', signal)
  return Number(CONFIGURATION_GAUGE.exec(body)?.[1])
}

/** Asks, as a client does, which entry VMs to use. @returns their addresses */
export async function lookUpAt (address: string, region: string, domain: string, signal?: AbortSignal): Promise<string[]> {
  const { status, body } = await askAt(address, `/umberspar/resolve?Name=${PLATFORM_HOST}&Region=${region}&Zone=${domain}`, signal)
  return status === 200 ? (JSON.parse(body) as { Addrs: string[] }).Addrs : []
}

/** @returns the id of the request that an answer belongs to, by the worker's word */
export function getAnsweredId ({ headers }: ClientAnswer): string {
  return String(headers['x-umberspar-request-id'])
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
