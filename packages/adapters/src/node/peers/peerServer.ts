/** Serves the Peer service of a daemon over gRPC. */
import { Readable } from 'node:stream'
import type { Writable } from 'node:stream'
import { Metadata, Server, ServerCredentials, status } from '@grpc/grpc-js'
import type { sendUnaryData, ServerReadableStream, ServerUnaryCall, ServerWritableStream, ServiceError } from '@grpc/grpc-js'
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError, toStepError } from '@umberspar/base/common/errors'
import type { ILogger } from '@umberspar/base/common/logger'
import { LogLevel, logError } from '@umberspar/base/common/logger'
import type { Result } from '@umberspar/base/common/result'
import { Err, Ok } from '@umberspar/base/common/result'
import type { IPeerService } from '@umberspar/steering/common/ports/peers'
import type * as wire from '../generated/peer/peer.js'
import { PeerService } from '../generated/peer/peer.js'
import { DocumentAssembler, splitDocument } from './documentChunks.js'
import { decodeDigest, decodeLoanRequest, encodeDigest, encodeLoanAnswer } from './peerMessages.js'

const LISTEN_STEP = 'listen-for-peers'
const HANDLE_CALL_STEP = 'answer-peer'
/** How long running calls may continue after `close` before they are aborted. */
const SHUTDOWN_GRACE_MS = 1000

const STATUS_BY_CODE: Readonly<Record<ErrorCode, status>> = {
  [ErrorCode.Invalid]: status.INVALID_ARGUMENT,
  [ErrorCode.NotFound]: status.NOT_FOUND,
  [ErrorCode.Conflict]: status.ALREADY_EXISTS,
  [ErrorCode.Exhausted]: status.RESOURCE_EXHAUSTED,
  [ErrorCode.Unavailable]: status.UNAVAILABLE,
  [ErrorCode.EffectUnknown]: status.UNKNOWN,
  [ErrorCode.DeadlinePassed]: status.DEADLINE_EXCEEDED,
  [ErrorCode.Cancelled]: status.CANCELLED,
  [ErrorCode.Refused]: status.FAILED_PRECONDITION,
  [ErrorCode.Internal]: status.INTERNAL
}

/** Options of {@link PeerServer}. */
export interface PeerServerOptions {
  /** `host:port`; port 0 selects a free port. */
  readonly address: string
  readonly service: IPeerService
  readonly clock: IClock
  readonly logger: ILogger
  /** For mutual TLS; without it, connections are plain text. */
  readonly credentials?: ServerCredentials | undefined
}

/** Handles the calls of peers with an {@link IPeerService}. */
export class PeerServer implements IClosable {
  private readonly server = new Server()
  private readonly service: IPeerService
  private readonly clock: IClock
  private closing: Promise<void> | undefined

  constructor (private readonly options: PeerServerOptions) {
    this.service = options.service
    this.clock = options.clock
    this.server.addService(PeerService, this.buildHandlers())
  }

  /** @returns the port, once peers can connect; an error if the address can't be bound */
  listen (): Promise<Result<number, StepError>> {
    const { address, credentials } = this.options
    return new Promise((resolve) => {
      this.server.bindAsync(address, credentials ?? ServerCredentials.createInsecure(), (error, port) => {
        if (error === null) resolve(Ok(port))
        else resolve(Err(toStepError(error, LISTEN_STEP, address)))
      })
    })
  }

  /** Stops accepting calls and waits for running ones; those that still run after one second are aborted. */
  close (): Promise<void> {
    this.closing ??= new Promise((resolve) => {
      const timer = this.clock.schedule(createDeadline(this.clock.now(), SHUTDOWN_GRACE_MS), () => { this.server.forceShutdown() })
      this.server.tryShutdown(() => {
        timer.close()
        resolve()
      })
    })
    return this.closing
  }

  private buildHandlers (): wire.PeerServer {
    return {
      exchange: (call: ServerUnaryCall<wire.Digest, wire.Digest>, callback: sendUnaryData<wire.Digest>) => {
        this.handleUnary(call, callback, (request, now) => encodeDigest(this.service.exchange(decodeDigest(request, now, call.getPeer())), now))
      },
      fetch: (call: ServerWritableStream<wire.DocumentRequest, wire.DocumentChunk>) => { this.handleFetch(call) },
      push: (call: ServerReadableStream<wire.DocumentChunk, wire.PushAnswer>, callback: sendUnaryData<wire.PushAnswer>) => {
        this.handlePush(call, callback)
      },
      borrow: (call: ServerUnaryCall<wire.LoanRequest, wire.LoanAnswer>, callback: sendUnaryData<wire.LoanAnswer>) => {
        this.handleUnary(call, callback, (request, now) => encodeLoanAnswer(this.service.borrow(decodeLoanRequest(request, now)), now))
      },
      return: (call: ServerUnaryCall<wire.LoanReturn, wire.LoanReturnAnswer>, callback: sendUnaryData<wire.LoanReturnAnswer>) => {
        this.handleUnary(call, callback, (request) => {
          this.service.returnLoan(request)
          return {}
        })
      }
    }
  }

  private handleUnary<TRequest, TResponse> (call: ServerUnaryCall<TRequest, TResponse>, callback: sendUnaryData<TResponse>, createResponse: (request: TRequest, now: number) => TResponse): void {
    try {
      callback(null, createResponse(call.request, this.clock.now()))
    } catch (thrown) {
      callback(this.toServiceError(thrown, call.getPeer()))
    }
  }

  private handleFetch (call: ServerWritableStream<wire.DocumentRequest, wire.DocumentChunk>): void {
    const { name, aboveVersion } = call.request
    try {
      const document = this.service.fetch(name, Number(aboveVersion))
      const chunks = Readable.from(document === undefined ? [] : splitDocument(document))
      // If the peer cancels midway, the remaining chunks must not stay in memory.
      call.on('cancelled', () => { chunks.destroy() })
      chunks.pipe(call as unknown as Writable)
    } catch (thrown) {
      call.emit('error', this.toServiceError(thrown, call.getPeer()))
    }
  }

  private async handlePush (call: ServerReadableStream<wire.DocumentChunk, wire.PushAnswer>, callback: sendUnaryData<wire.PushAnswer>): Promise<void> {
    const peer = call.getPeer()
    try {
      const assembler = new DocumentAssembler(peer)
      for await (const chunk of call) assembler.add(chunk as wire.DocumentChunk)
      const document = assembler.build()
      if (document === undefined) throw new StepError({ code: ErrorCode.Invalid, step: HANDLE_CALL_STEP, peer, message: 'the document has no chunks' })
      callback(null, { version: BigInt(await this.service.push(document)) })
    } catch (thrown) {
      callback(this.toServiceError(thrown, peer))
    }
  }

  private toServiceError (thrown: unknown, peer: string): ServiceError {
    const error = toStepError(thrown, HANDLE_CALL_STEP, peer)
    logError(this.options.logger, LogLevel.Warn, error)
    return Object.assign(new Error(error.message), { code: STATUS_BY_CODE[error.code], details: error.message, metadata: new Metadata() })
  }
}
