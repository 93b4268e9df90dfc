/** Routes of the operators' listener: health, status, configuration, drains and error budget burn, all as JSON. */
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { IncomingMessage, ServerResponse } from 'node:http'
import polka, { type Polka } from 'polka'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { z } from 'zod'
import type { PatchFailure, PatchService } from '../configuration/patchService.js'
import { REFUSAL_STATUS } from '../configuration/patchService.js'

/** A patch is at most as large as a configuration. Larger bodies are refused without being parsed. */
const MAX_BODY_BYTES = 32 * 1024 * 1024

const patchSchema = z.strictObject({
  baseVersion: z.number().int().min(0),
  changeId: z.string().min(1).max(128),
  patch: z.unknown(),
  note: z.string().max(1000).default('')
})
const validateSchema = z.strictObject({ baseVersion: z.number().int().min(0), patch: z.unknown() })

/** The data that the listener exposes. Each call returns the current state. */
export interface OperatorViews {
  isReady(): { isReady: boolean, reason: string }
  getStatus(): object
  getFleet(): object
  getConfiguration(): object | undefined
  listHistory(): Promise<object | StepError>
  readVersion(version: number): Promise<object | StepError>
  listDrains(): object
  predictDrain(configuration: SteeringConfiguration): object
  getBurn(): object
}

const STATUS_BY_CODE: Readonly<Partial<Record<ErrorCode, number>>> = {
  [ErrorCode.Invalid]: 400,
  [ErrorCode.NotFound]: 404,
  [ErrorCode.Conflict]: 409,
  [ErrorCode.EffectUnknown]: 504,
  [ErrorCode.Internal]: 500
}
const DEFAULT_ERROR_STATUS = 503

/**
 * Builds the operators' routes.
 * @param views the data to expose
 * @param patches validates and applies patches
 * @returns an application for an HTTP listener
 */
export function buildOperatorApp (views: OperatorViews, patches: PatchService): Polka {
  const app = polka({ onError: (error, _request, response) => sendError(response as ServerResponse, toInternalError(error)) })
  app.get('/healthz', (_request, response) => sendJson(response, 200, { status: 'ok' }))
  app.get('/readyz', (_request, response) => {
    const ready = views.isReady()
    sendJson(response, ready.isReady ? 200 : 503, ready)
  })
  app.get('/v1/status', (_request, response) => sendJson(response, 200, views.getStatus()))
  app.get('/v1/fleet', (_request, response) => sendJson(response, 200, views.getFleet()))
  app.get('/v1/drains', (_request, response) => sendJson(response, 200, views.listDrains()))
  app.get('/v1/burn', (_request, response) => sendJson(response, 200, views.getBurn()))
  addConfigurationRoutes(app, views, patches)
  return app
}

function addConfigurationRoutes (app: Polka, views: OperatorViews, patches: PatchService): void {
  app.get('/v1/config', (_request, response) => {
    const current = views.getConfiguration()
    if (current !== undefined) sendJson(response, 200, current)
    else sendError(response, createError(ErrorCode.Unavailable, 'no configuration has been loaded yet'))
  })
  app.get('/v1/config/history', async (_request, response) => sendResult(response, await views.listHistory()))
  app.get('/v1/config/versions/:version', async (request, response) => {
    const version = Number(request.params.version)
    if (!Number.isInteger(version)) sendError(response, createError(ErrorCode.Invalid, 'expected an integer as the version'))
    else sendResult(response, await views.readVersion(version))
  })
  app.post('/v1/config/validate', buildBodyHandler(validateSchema, async (input, response) => {
    const checked = await patches.validate(input)
    if (checked.ok) sendJson(response, 200, { valid: true, problems: [] })
    else sendPatchFailure(response, checked.val, input.baseVersion)
  }))
  app.post('/v1/drains/predict', buildBodyHandler(validateSchema, async (input, response) => {
    // A patch that would be refused only for lack of capacity is predicted nevertheless, because the prediction shows why.
    const checked = await patches.validate(input, false)
    if (checked.ok) sendJson(response, 200, views.predictDrain(checked.val))
    else sendPatchFailure(response, checked.val, input.baseVersion)
  }))
  app.post('/v1/config/patches', buildBodyHandler(patchSchema, async (input, response) => {
    const patched = await patches.patch(input)
    if (patched.ok) sendJson(response, 200, { head: patched.val })
    else sendPatchFailure(response, patched.val, input.baseVersion)
  }))
}

type BodyHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>

/** Parses and validates a JSON body and passes it to the handler; an invalid body is refused with a list of its problems. */
function buildBodyHandler<T> (schema: z.ZodType<T>, handle: (input: T, response: ServerResponse) => Promise<void>): BodyHandler {
  return async (request, response) => {
    const input = await readJson(request, schema)
    if (input instanceof StepError) sendError(response, input)
    else await handle(input, response)
  }
}

function sendPatchFailure (response: ServerResponse, failure: PatchFailure, baseVersion: number): void {
  if (failure.kind === 'failed') {
    sendError(response, failure.error)
    return
  }
  const { refusal, currentVersion } = failure
  const status = REFUSAL_STATUS[refusal.kind]
  sendProblemJson(response, status, { title: refusal.kind, detail: refusal.message, step: 'patch-configuration', peer: 'local', outcome: 'not-run', baseVersion, currentVersion, conflictingPaths: refusal.conflictingPaths, problems: refusal.problems })
}

function sendResult (response: ServerResponse, result: object | StepError): void {
  if (result instanceof StepError) sendError(response, result)
  else sendJson(response, 200, result)
}

function sendError (response: ServerResponse, error: StepError): void {
  const status = STATUS_BY_CODE[error.code] ?? DEFAULT_ERROR_STATUS
  const outcome = error.code === ErrorCode.EffectUnknown ? 'unknown' : 'not-run'
  sendProblemJson(response, status, { title: error.code, detail: error.message, step: error.step, peer: error.peer, outcome })
}

function sendProblemJson (response: ServerResponse, status: number, fields: object): void {
  writeBody(response, status, 'application/problem+json', { type: 'about:blank', status, ...fields })
}

function sendJson (response: ServerResponse, status: number, body: object): void {
  writeBody(response, status, 'application/json', body)
}

function writeBody (response: ServerResponse, status: number, contentType: string, body: object): void {
  const text = JSON.stringify(body)
  response.statusCode = status
  response.setHeader('Content-Type', contentType)
  response.setHeader('Content-Length', Buffer.byteLength(text))
  response.end(text)
}

async function readJson<T> (request: IncomingMessage, schema: z.ZodType<T>): Promise<T | StepError> {
  const chunks: Buffer[] = []
  let length = 0
  for await (const chunk of request) {
    length += (chunk as Buffer).length
    if (length > MAX_BODY_BYTES) return createError(ErrorCode.Invalid, 'the request body is too large')
    chunks.push(chunk as Buffer)
  }
  try {
    const parsed = schema.safeParse(JSON.parse(Buffer.concat(chunks).toString('utf8')))
    if (parsed.success) return parsed.data
    const problems = parsed.error.issues.map((issue) => `${issue.path.join('.') || '(body)'}: ${issue.message}`)
    return createError(ErrorCode.Invalid, problems.join('; '))
  } catch (cause) {
    return createError(ErrorCode.Invalid, cause instanceof Error ? cause.message : String(cause))
  }
}

function createError (code: ErrorCode, message: string): StepError {
  return new StepError({ code, step: 'answer-operator', peer: 'local', message })
}

function toInternalError (thrown: unknown): StepError {
  const message = thrown instanceof Error ? thrown.message : String(thrown)
  return createError(ErrorCode.Internal, message)
}
