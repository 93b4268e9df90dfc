/** What a worker of the users' platform sends for each fault, once it has run a request. */
import type { Socket } from 'node:net'
import { resetSocket } from '../../resetSocket.js'
import type { PlatformWorkerStandIn } from './platformWorkerStandIn.js'
import { WorkerFault } from './workerFault.js'

const LENGTH_LINE = /content-length: *\d+\r\n/i
const ENDLESS_BLOCK_BYTES = 65_536
const BODY_PART = 'body'
const BODY_CHUNK = `1000\r\n${BODY_PART.repeat(1_024)}\r\n`

/** Sends the beginning of a response, then a part of it again and again until the connection closes. */
function writeEndless (worker: PlatformWorkerStandIn, socket: Socket, beginning: string, part: string): void {
  const block = part.repeat(Math.ceil(ENDLESS_BLOCK_BYTES / part.length))
  const writeBlock = (): void => {
    if (!socket.writable) return
    worker.endlessBytes += block.length
    socket.write(block, 'latin1', () => { setImmediate(writeBlock) })
  }
  socket.write(beginning, 'latin1')
  writeBlock()
}

/** @returns the head of a response without a length, whose body ends with its connection unless a field says otherwise */
function formatUnframedHead (worker: PlatformWorkerStandIn, status: number, requestId: string, fields: readonly string[], isSealed = true): string {
  return worker.format(status, requestId, '', fields, isSealed).replace(LENGTH_LINE, '')
}

/** @returns the head of a response in chunks */
function formatChunkedHead (worker: PlatformWorkerStandIn, requestId: string): string {
  return formatUnframedHead(worker, 200, requestId, ['Transfer-Encoding: chunked'])
}

type Answer = (worker: PlatformWorkerStandIn, socket: Socket, requestId: string) => void

/** What a worker sends for each fault. */
export const ANSWERS: Readonly<Record<WorkerFault, Answer>> = {
  [WorkerFault.None]: (worker, socket, requestId) => { socket.write(worker.format(200, requestId, worker.buildBody(requestId), [])) },
  [WorkerFault.Shed]: (worker, socket, requestId) => { socket.write(worker.formatRefusal(requestId)) },
  [WorkerFault.AnswerLost]: (_worker, socket) => { resetSocket(socket) },
  [WorkerFault.Fail]: (worker, socket, requestId) => { socket.write(worker.format(500, requestId, 'failed', [])) },
  [WorkerFault.Extra]: (worker, socket, requestId) => {
    socket.write(worker.format(200, requestId, worker.buildBody(requestId), []) + worker.format(200, requestId, 'a second answer', []))
  },
  [WorkerFault.LateExtra]: (worker, socket, requestId) => {
    socket.write(worker.format(200, 'an-earlier-request', 'an answer to another', []) + worker.format(200, requestId, worker.buildBody(requestId), []))
  },
  [WorkerFault.Rot]: (_worker, socket) => { socket.end('\u0001\u0002 no answer at all\r\n\r\n') },
  [WorkerFault.Short]: (worker, socket, requestId) => { socket.end(worker.format(200, requestId, worker.buildBody(requestId), []).slice(0, -3)) },
  [WorkerFault.Stalled]: (worker, socket, requestId) => { socket.write(worker.format(200, requestId, worker.buildBody(requestId), []).slice(0, -3)) },
  [WorkerFault.InvalidField]: (worker, socket, requestId) => { socket.write(worker.format(200, requestId, worker.buildBody(requestId), ['X-Trace: a\u0001b'])) },
  [WorkerFault.InvalidFieldUnframed]: (worker, socket, requestId) => {
    socket.end(formatUnframedHead(worker, 200, requestId, ['X-Trace: a\u0001b']) + worker.buildBody(requestId))
  },
  [WorkerFault.InvalidFieldName]: (worker, socket, requestId) => { socket.write(worker.format(200, requestId, worker.buildBody(requestId), ['X-(Trace): a'])) },
  [WorkerFault.EndlessStatusLine]: (worker, socket) => { writeEndless(worker, socket, 'HTTP/1.1 200 ', 'O') },
  [WorkerFault.EndlessHead]: (worker, socket) => { writeEndless(worker, socket, 'HTTP/1.1 200 OK\r\n', 'X-Trace: a\r\n') },
  [WorkerFault.EndlessInterimResponses]: (worker, socket) => { writeEndless(worker, socket, '', 'HTTP/1.1 103 Early Hints\r\n\r\n') },
  [WorkerFault.EndlessChunkLine]: (worker, socket, requestId) => { writeEndless(worker, socket, `${formatChunkedHead(worker, requestId)}2;`, 'a') },
  [WorkerFault.EndlessChunkExtensions]: (worker, socket, requestId) => { writeEndless(worker, socket, formatChunkedHead(worker, requestId), `1;${'a'.repeat(1_000)}\r\nb\r\n`) },
  [WorkerFault.EndlessChunkEnd]: (worker, socket, requestId) => { writeEndless(worker, socket, `${formatChunkedHead(worker, requestId)}2\r\nab`, 'a') },
  [WorkerFault.EndlessTrailer]: (worker, socket, requestId) => { writeEndless(worker, socket, `${formatChunkedHead(worker, requestId)}0\r\nX-Trace: `, 'a') },
  [WorkerFault.EndlessTrailers]: (worker, socket, requestId) => { writeEndless(worker, socket, `${formatChunkedHead(worker, requestId)}0\r\n`, 'X-Trace: a\r\n') },
  // In chunks, as the end of the worker would complete a response without a length.
  [WorkerFault.EndlessBody]: (worker, socket, requestId) => { writeEndless(worker, socket, formatChunkedHead(worker, requestId), BODY_CHUNK) },
  [WorkerFault.EndlessFailure]: (worker, socket, requestId) => { writeEndless(worker, socket, formatUnframedHead(worker, 500, requestId, []), BODY_PART) },
  [WorkerFault.EndlessRefusal]: (worker, socket, requestId) => { writeEndless(worker, socket, formatUnframedHead(worker, 503, requestId, ['X-Umberspar-Not-Run: 1']), BODY_PART) },
  [WorkerFault.EndlessUnsealed]: (worker, socket, requestId) => { writeEndless(worker, socket, formatUnframedHead(worker, 200, requestId, [], false), BODY_PART) },
  [WorkerFault.EndlessLateExtra]: (worker, socket) => { writeEndless(worker, socket, formatUnframedHead(worker, 200, 'an-earlier-request', []), BODY_PART) },
  [WorkerFault.Unsealed]: (worker, socket, requestId) => { socket.write(worker.format(200, requestId, worker.buildBody(requestId), [], false)) },
  [WorkerFault.Silent]: () => {}
}
