/** Writes a worker's answers, whole or with a fault. */
import type { ServerResponse } from 'node:http'
import type { IClock, Instant } from '@umberspar/base/common/clock'
import { waitUntil } from '../../waiting.js'
import { AnswerFault } from './workerFaults.js'
import { resetSocket } from '../../resetSocket.js'

/** An answer before it is written. */
export interface WorkerAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
}

/** What a faulty answer needs to know. */
export interface AnswerContext {
  readonly clock: IClock
  readonly trickleSpanMs: number
  /** When a late answer is sent. */
  readonly lateAt: Instant
}

type AnswerHandler = (response: ServerResponse, answer: WorkerAnswer, context: AnswerContext) => Promise<void>

const TRICKLED_PIECES = 8

function writeHead (response: ServerResponse, answer: WorkerAnswer, framing: Readonly<Record<string, string>>): void {
  response.writeHead(answer.status, { ...answer.headers, ...framing })
}

function writePiece (response: ServerResponse, piece: Buffer): Promise<void> {
  return new Promise((resolve) => { response.write(piece, () => resolve()) })
}

function takeHalf (body: Buffer): Buffer {
  return body.subarray(0, Math.ceil(body.length / 2))
}

/**
 * Writes an answer whole.
 * @param response where to
 * @param answer what
 */
export function writeWhole (response: ServerResponse, answer: WorkerAnswer): void {
  writeHead(response, answer, { 'content-length': String(answer.body.length) })
  response.end(answer.body)
}

/** Announces one byte more than there is if the body is empty, so that every answer can be cut short. */
async function writeHalf (response: ServerResponse, answer: WorkerAnswer): Promise<void> {
  writeHead(response, answer, { 'content-length': String(Math.max(2, answer.body.length)) })
  response.flushHeaders()
  await writePiece(response, takeHalf(answer.body).subarray(0, Math.max(1, answer.body.length - 1)))
}

const HANDLER_BY_FAULT: Readonly<Record<AnswerFault, AnswerHandler>> = {
  [AnswerFault.ResetBeforeFirstByte]: async (response) => {
    if (response.socket !== null) resetSocket(response.socket)
  },
  [AnswerFault.ResetAfterFirstByte]: async (response, answer) => {
    await writeHalf(response, answer)
    if (response.socket !== null) resetSocket(response.socket)
  },
  [AnswerFault.ShortOfContentLength]: async (response, answer) => {
    await writeHalf(response, answer)
    response.socket?.end()
  },
  [AnswerFault.UnfinishedChunks]: async (response, answer) => {
    writeHead(response, answer, { 'transfer-encoding': 'chunked' })
    response.flushHeaders()
    await writePiece(response, takeHalf(answer.body))
    response.socket?.end()
  },
  [AnswerFault.MalformedChunk]: async (response, answer) => {
    writeHead(response, answer, { 'transfer-encoding': 'chunked' })
    response.flushHeaders()
    await writePiece(response, takeHalf(answer.body))
    response.socket?.end('not-a-size\r\n\r\n')
  },
  [AnswerFault.Late]: async (response, answer, context) => {
    await waitUntil(context.clock, context.lateAt)
    if (!response.destroyed) writeWhole(response, answer)
  },
  [AnswerFault.Trickled]: async (response, answer, context) => {
    writeHead(response, answer, { 'content-length': String(answer.body.length) })
    response.flushHeaders()
    const pieceBytes = Math.max(1, Math.ceil(answer.body.length / TRICKLED_PIECES))
    for (let offset = 0; offset < answer.body.length && !response.destroyed; offset += pieceBytes) {
      response.write(answer.body.subarray(offset, offset + pieceBytes))
      await waitUntil(context.clock, context.clock.now() + context.trickleSpanMs)
    }
    response.end()
  }
}

/**
 * Writes an answer with a fault.
 * @param fault which
 * @param response where to
 * @param answer what it would be if whole
 * @param context instants and pauses of the faults that take time
 * @returns settled when all that comes has been written
 */
export function writeFaulty (fault: AnswerFault, response: ServerResponse, answer: WorkerAnswer, context: AnswerContext): Promise<void> {
  return HANDLER_BY_FAULT[fault](response, answer, context)
}
