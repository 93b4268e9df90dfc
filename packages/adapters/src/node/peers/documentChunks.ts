/** Splits documents into chunks for the wire and reassembles them, up to a size limit. */
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { PushScope, type PushRoute } from '@umberspar/steering/common/gossip/pushTree'
import type { PeerDocument } from '@umberspar/steering/common/ports/peers'
import type { DocumentChunk, DocumentVersion } from '../generated/peer/peer.js'
import { decodeVersion, encodeVersion } from './peerMessages.js'

/** Small enough that other calls on the same connection can be sent between two chunks. */
export const CHUNK_BYTES = 65_536
/** Larger documents are rejected, so that a faulty peer can't exhaust the memory. */
export const MAX_DOCUMENT_BYTES = 16_777_216

const ASSEMBLE_STEP = 'assemble-document'

/**
 * @param source the document
 * @returns its chunks in order, at least one, generated lazily
 */
export function * splitDocument (source: PeerDocument): Generator<DocumentChunk> {
  const document = encodeVersion(source.document)
  const bytes = Buffer.from(source.body.buffer, source.body.byteOffset, source.body.byteLength)
  const count = Math.max(1, Math.ceil(bytes.byteLength / CHUNK_BYTES))
  for (let index = 0; index < count; index++) {
    const data = bytes.subarray(index * CHUNK_BYTES, (index + 1) * CHUNK_BYTES)
    yield { document, index, data, isLast: index === count - 1, ...encodeRoute(source.route) }
  }
}

function encodeRoute (route: PushRoute | undefined): Pick<DocumentChunk, 'originId' | 'isRegional'> {
  return { originId: route?.originId ?? '', isRegional: route?.scope === PushScope.Region }
}

function decodeRoute (chunk: DocumentChunk): PushRoute | undefined {
  if (chunk.originId === '') return undefined
  return { originId: chunk.originId, scope: chunk.isRegional ? PushScope.Region : PushScope.Global }
}

/** Reassembles one document from its chunks. */
export class DocumentAssembler {
  private readonly chunks: Buffer[] = []
  private sizeBytes = 0
  private document: DocumentVersion | undefined
  private route: PushRoute | undefined
  private isComplete = false

  constructor (private readonly peer: string) {}

  /**
   * @param chunk the next chunk
   * @throws StepError `Invalid` if the chunk is out of order or belongs to another document; `Exhausted` if the document exceeds {@link MAX_DOCUMENT_BYTES}
   */
  add (chunk: DocumentChunk): void {
    this.document ??= chunk.document
    this.route ??= decodeRoute(chunk)
    if (!this.isNextChunk(chunk)) throw this.createError(ErrorCode.Invalid, `chunk ${chunk.index} is out of order`)
    this.sizeBytes += chunk.data.byteLength
    if (this.sizeBytes > MAX_DOCUMENT_BYTES) throw this.createError(ErrorCode.Exhausted, `the document exceeds ${MAX_DOCUMENT_BYTES} bytes`)
    this.chunks.push(chunk.data)
    this.isComplete = chunk.isLast
  }

  /**
   * @returns the document; undefined if no chunk was added
   * @throws StepError `Invalid` if the last chunk is missing
   */
  build (): PeerDocument | undefined {
    if (this.document === undefined) return undefined
    if (!this.isComplete) throw this.createError(ErrorCode.Invalid, 'the last chunk of the document is missing')
    const assembled = { document: decodeVersion(this.document), body: Buffer.concat(this.chunks) }
    return this.route === undefined ? assembled : { ...assembled, route: this.route }
  }

  private isNextChunk (chunk: DocumentChunk): boolean {
    const isSameDocument = chunk.document !== undefined &&
      chunk.document.name === this.document?.name &&
      chunk.document.version === this.document.version
    return isSameDocument && !this.isComplete && chunk.index === this.chunks.length
  }

  private createError (code: ErrorCode, message: string): StepError {
    return new StepError({ code, step: ASSEMBLE_STEP, peer: this.peer, message })
  }
}
