/** Requests the health and load endpoints of workers. */
import type { Readable } from 'node:stream'
import { z } from 'zod'
import type { Deadline } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { Result } from '@umberspar/base/common/result'
import { Err, Ok } from '@umberspar/base/common/result'
import type { AttemptResponse, IUpstreamTransport, ProbedLoad, ProbeResult } from './attempt.js'
import { ProbeScope } from './attempt.js'

const PROBE_STEP = 'probe-worker'
const HEALTH_PATH = '/health'
const LOAD_PATH = '/load'
const STATUS_OK = 200
/** Far larger than any valid response; a longer one is rejected as invalid. */
const MAX_PROBE_BODY_BYTES = 65_536

/** The states that a worker can report. */
enum WorkerState {
  Ready = 'ready',
  Starting = 'starting',
  Draining = 'draining'
}

const healthSchema = z.object({ state: z.enum(WorkerState) })
const loadSchema = z.object({ utilization: z.number().min(0), inFlight: z.number().int().min(0) })

async function readBody (body: Readable): Promise<string> {
  const chunks: Buffer[] = []
  let sizeBytes = 0
  for await (const chunk of body) {
    const bytes = chunk as Buffer
    sizeBytes += bytes.byteLength
    if (sizeBytes > MAX_PROBE_BODY_BYTES) throw new Error(`the response exceeds ${MAX_PROBE_BODY_BYTES} bytes`)
    chunks.push(bytes)
  }
  return Buffer.concat(chunks).toString('utf8')
}

async function parseBody<T> (response: AttemptResponse, schema: z.ZodType<T>, peer: string): Promise<Result<T, StepError>> {
  try {
    return Ok(schema.parse(JSON.parse(await readBody(response.body))))
  } catch (thrown) {
    if (thrown instanceof StepError) return Err(thrown)
    const message = thrown instanceof Error ? thrown.message : String(thrown)
    return Err(new StepError({ code: ErrorCode.Invalid, step: PROBE_STEP, peer, message, cause: thrown }))
  }
}

interface ProbeResponse<T> {
  readonly status: number
  readonly value: T
}

/** Sends probes over a transport; callers decide when to probe. */
export class ProbeReader {
  constructor (private readonly transport: Pick<IUpstreamTransport, 'send'>) {}

  /**
   * @param address `host:port` of the worker
   * @param deadline when all responses must have been received
   * @param scope the endpoints to request
   * @returns the worker's state; an error if it does not respond or its response is invalid
   */
  async fetchProbe (address: string, deadline: Deadline, scope: ProbeScope): Promise<Result<ProbeResult, StepError>> {
    const health = await this.fetchJson(address, HEALTH_PATH, healthSchema, deadline)
    if (health.err) return health
    const load = await this.fetchLoad(address, deadline, scope)
    if (load.err) return load
    const { status, value } = health.val
    return Ok({
      isHealthy: status === STATUS_OK && value.state !== WorkerState.Draining,
      isDraining: value.state === WorkerState.Draining,
      isStarting: value.state === WorkerState.Starting,
      load: load.val
    })
  }

  private async fetchLoad (address: string, deadline: Deadline, scope: ProbeScope): Promise<Result<ProbedLoad | undefined, StepError>> {
    if (scope === ProbeScope.Health) return Ok(undefined)
    const load = await this.fetchJson(address, LOAD_PATH, loadSchema, deadline)
    return load.err ? load : Ok(load.val.value)
  }

  private async fetchJson<T> (address: string, path: string, schema: z.ZodType<T>, deadline: Deadline): Promise<Result<ProbeResponse<T>, StepError>> {
    const signal = new AbortController().signal
    const sent = await this.transport.send({ workerId: address, address, method: 'GET', path, headers: {}, body: null, deadline, signal })
    if (sent.err) return sent
    const parsed = await parseBody(sent.val, schema, address)
    if (parsed.err) return parsed
    return Ok({ status: sent.val.status, value: parsed.val })
  }
}
