/** Calls peers over gRPC, with one channel per peer that stays open until it is closed. */
import { Readable } from 'node:stream'
import type { Writable } from 'node:stream'
import { pipeline } from 'node:stream/promises'
import type { CallOptions, Channel, ServiceError } from '@grpc/grpc-js'
import { Metadata } from '@grpc/grpc-js'
import type { IClock, Instant } from '@umberspar/base/common/clock'
import type { Deadline } from '@umberspar/base/common/deadline'
import { hasPassed } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError, toStepError } from '@umberspar/base/common/errors'
import type { Result } from '@umberspar/base/common/result'
import { Err, Ok } from '@umberspar/base/common/result'
import type { Heartbeat, IPeerClient, LoanAnswer, LoanRequest, LoanReturn, PeerDocument } from '@umberspar/steering/common/ports/peers'
import { PeerClient as WireClient } from '../generated/peer/peer.js'
import type { DocumentChunk, PushAnswer } from '../generated/peer/peer.js'
import { CallEffect, callUnary, createCallOptions, createChannel, createUnsentError, INSECURE_CHANNELS, toCallError, waitForChannel } from '../grpc/grpcCalls.js'
import type { ChannelSecurityFactory } from '../grpc/grpcCalls.js'
import { DocumentAssembler, MAX_DOCUMENT_BYTES, splitDocument } from './documentChunks.js'
import { decodeDigest, decodeLoanAnswer, encodeDigest, encodeLoanRequest } from './peerMessages.js'

/** The kinds of calls, as they appear in errors. */
enum PeerCall {
  Exchange = 'peer-exchange',
  Fetch = 'peer-fetch',
  Push = 'peer-push',
  Borrow = 'peer-borrow',
  ReturnLoan = 'peer-return-loan'
}

const EFFECT_BY_CALL: Readonly<Record<PeerCall, CallEffect>> = {
  [PeerCall.Exchange]: CallEffect.None,
  [PeerCall.Fetch]: CallEffect.None,
  [PeerCall.Push]: CallEffect.Write,
  [PeerCall.Borrow]: CallEffect.Write,
  [PeerCall.ReturnLoan]: CallEffect.Write
}

/** Options of {@link PeerClient}. */
export interface PeerClientOptions {
  readonly clock: IClock
  /** For mutual TLS; without it, connections are plain text. */
  readonly security?: ChannelSecurityFactory | undefined
}

interface PeerConnection {
  readonly channel: Channel
  readonly client: WireClient
}

type PeerInvocation<TResponse> = (client: WireClient, options: Partial<CallOptions>, sentAt: Instant) => Promise<Result<TResponse, ServiceError | StepError>>

/** Implements {@link IPeerClient} over gRPC. */
export class PeerClient implements IPeerClient {
  private readonly connections = new Map<string, PeerConnection>()
  private readonly clock: IClock
  private readonly security: ChannelSecurityFactory
  private isClosed = false

  constructor (options: PeerClientOptions) {
    this.clock = options.clock
    this.security = options.security ?? INSECURE_CHANNELS
  }

  exchange (address: string, digest: Heartbeat, deadline: Deadline): Promise<Result<Heartbeat, StepError>> {
    return this.callPeer(PeerCall.Exchange, address, deadline, async (client, options, sentAt) => {
      const response = await callUnary(client.exchange.bind(client), encodeDigest(digest, sentAt), options)
      // The ages in the response count from the moment the peer sent it. Counting them
      // from our request instead can only make a measurement look older, never newer.
      return response.map((received) => decodeDigest(received, sentAt, address))
    })
  }

  fetch (address: string, name: string, aboveVersion: number, deadline: Deadline): Promise<Result<PeerDocument | undefined, StepError>> {
    return this.callPeer(PeerCall.Fetch, address, deadline, async (client, options) => {
      const stream = client.fetch({ name, aboveVersion: BigInt(aboveVersion) }, options)
      // The loop below handles errors. An error emitted after the loop has ended (a
      // rejected chunk cancels the call) would crash the process without this listener.
      stream.on('error', () => {})
      const assembler = new DocumentAssembler(address)
      try {
        for await (const chunk of stream) assembler.add(chunk as DocumentChunk)
      } finally {
        stream.cancel()
      }
      return Ok(assembler.build())
    })
  }

  async push (address: string, document: PeerDocument, deadline: Deadline): Promise<Result<number, StepError>> {
    if (document.body.byteLength > MAX_DOCUMENT_BYTES) {
      return Err(new StepError({ code: ErrorCode.Invalid, step: PeerCall.Push, peer: address, message: `the document exceeds ${MAX_DOCUMENT_BYTES} bytes` }))
    }
    return this.callPeer(PeerCall.Push, address, deadline, (client, options) => pushChunks(client, document, options))
  }

  borrow (address: string, request: LoanRequest, deadline: Deadline): Promise<Result<LoanAnswer, StepError>> {
    return this.callPeer(PeerCall.Borrow, address, deadline, async (client, options, sentAt) => {
      const response = await callUnary(client.borrow.bind(client), encodeLoanRequest(request, sentAt), options)
      return response.map((received) => decodeLoanAnswer(received, sentAt))
    })
  }

  returnLoan (address: string, loan: LoanReturn, deadline: Deadline): Promise<Result<void, StepError>> {
    return this.callPeer(PeerCall.ReturnLoan, address, deadline, async (client, options) => {
      const response = await callUnary(client.return.bind(client), { ...loan }, options)
      return response.map(() => undefined)
    })
  }

  closePeer (address: string): void {
    this.connections.get(address)?.channel.close()
    this.connections.delete(address)
  }

  close (): void {
    this.isClosed = true
    for (const address of [...this.connections.keys()]) this.closePeer(address)
  }

  private async callPeer<TResponse> (call: PeerCall, address: string, deadline: Deadline, invoke: PeerInvocation<TResponse>): Promise<Result<TResponse, StepError>> {
    const context = { step: call, peer: address, effect: EFFECT_BY_CALL[call] }
    if (this.isClosed) return Err(new StepError({ code: ErrorCode.Cancelled, step: call, peer: address, message: 'the peer client has been closed' }))
    const { channel, client } = this.openConnection(address)
    const isConnected = await waitForChannel(channel, this.clock, deadline)
    const sentAt = this.clock.now()
    if (!isConnected || hasPassed(deadline, sentAt)) return Err(createUnsentError(context, isConnected))
    try {
      const response = await invoke(client, createCallOptions(this.clock, deadline), sentAt)
      if (response.ok) return response
      throw response.val
    } catch (thrown) {
      return Err(isServiceError(thrown) ? toCallError(thrown, context) : toStepError(thrown, call, address))
    }
  }

  private openConnection (address: string): PeerConnection {
    const existing = this.connections.get(address)
    if (existing !== undefined) return existing
    const security = this.security(address)
    const channel = createChannel(address, security)
    const client = new WireClient(address, security.credentials, { channelOverride: channel })
    const connection = { channel, client }
    this.connections.set(address, connection)
    return connection
  }
}

function isServiceError (thrown: unknown): thrown is ServiceError {
  return thrown instanceof Error && !(thrown instanceof StepError) && typeof Reflect.get(thrown, 'code') === 'number'
}

function pushChunks (client: WireClient, document: PeerDocument, options: Partial<CallOptions>): Promise<Result<number, ServiceError>> {
  return new Promise((resolve) => {
    const stream = client.push(new Metadata(), options, (error: ServiceError | null, response: PushAnswer) => {
      resolve(error === null ? Ok(Number(response.version)) : Err(error))
    })
    // The callback reports every failure of the call. If the peer rejects the document
    // midway, the pipeline fails too; that error adds nothing and is dropped.
    pipeline(Readable.from(splitDocument(document)), stream as unknown as Writable).catch(() => { stream.cancel() })
  })
}
