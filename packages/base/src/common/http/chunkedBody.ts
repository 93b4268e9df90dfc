/**
 * Decodes a request body in chunks. Chunks of a few bytes would each cost the server's parser an
 * object and an event, and it keeps trailers and counts extensions in ways that differ between releases;
 * neither trailers nor extensions are forwarded, so that only the data is passed on.
 */
import { CARRIAGE_RETURN, COLON, IS_TOKEN, IS_VALUE, LINE_FEED, SEMICOLON } from './characters.js'

/** What is expected next. */
enum ChunkPart {
  Size = 'size',
  Extension = 'extension',
  SizeLineFeed = 'size-line-feed',
  Data = 'data',
  DataReturn = 'data-return',
  DataLineFeed = 'data-line-feed',
  TrailerStart = 'trailer-start',
  TrailerName = 'trailer-name',
  TrailerValue = 'trailer-value',
  TrailerLineFeed = 'trailer-line-feed',
  LastLineFeed = 'last-line-feed',
  End = 'end'
}

/** What is known of a body. */
export enum ChunkedState {
  /** More is to arrive. */
  Incomplete = 'incomplete',
  Complete = 'complete',
  Malformed = 'malformed',
  /** Its extensions or trailers are too long. */
  TooLong = 'too-long'
}

/** Limit on the chunk extensions of a body together. */
const MAX_EXTENSION_BYTES = 16_384
/** Limit on the trailer fields of a body together. */
const MAX_TRAILER_BYTES = 16_384
/** Longer sizes exceed every limit on bodies. */
const MAX_SIZE_DIGITS = 8
const RADIX = 16
const NOT_A_DIGIT = 255
/** The values of hexadecimal digits. */
const DIGITS = Uint8Array.from({ length: 256 }, (_, byte) => {
  const digit = Number.parseInt(String.fromCharCode(byte), RADIX)
  return Number.isNaN(digit) ? NOT_A_DIGIT : digit
})

type ByteHandler = (decoder: ChunkedDecoder, byte: number) => ChunkPart | undefined

/** What follows each byte beside the data; undefined if the byte violates the protocol. */
const HANDLERS: Readonly<Record<Exclude<ChunkPart, ChunkPart.Data | ChunkPart.End>, ByteHandler>> = {
  [ChunkPart.Size]: (decoder, byte) => decoder.readSizeByte(byte),
  [ChunkPart.Extension]: (decoder, byte) => {
    if (byte === CARRIAGE_RETURN) return ChunkPart.SizeLineFeed
    decoder.extensionBytes++
    return IS_VALUE[byte] === 1 ? ChunkPart.Extension : undefined
  },
  [ChunkPart.SizeLineFeed]: (decoder, byte) => byte !== LINE_FEED ? undefined : decoder.startChunk(),
  [ChunkPart.DataReturn]: (_, byte) => byte === CARRIAGE_RETURN ? ChunkPart.DataLineFeed : undefined,
  [ChunkPart.DataLineFeed]: (_, byte) => byte === LINE_FEED ? ChunkPart.Size : undefined,
  [ChunkPart.TrailerStart]: (decoder, byte) => {
    if (byte === CARRIAGE_RETURN) return ChunkPart.LastLineFeed
    decoder.trailerBytes++
    return IS_TOKEN[byte] === 1 ? ChunkPart.TrailerName : undefined
  },
  [ChunkPart.TrailerName]: (decoder, byte) => {
    decoder.trailerBytes++
    if (byte === COLON) return ChunkPart.TrailerValue
    return IS_TOKEN[byte] === 1 ? ChunkPart.TrailerName : undefined
  },
  [ChunkPart.TrailerValue]: (decoder, byte) => {
    decoder.trailerBytes++
    if (byte === CARRIAGE_RETURN) return ChunkPart.TrailerLineFeed
    return IS_VALUE[byte] === 1 ? ChunkPart.TrailerValue : undefined
  },
  [ChunkPart.TrailerLineFeed]: (_, byte) => byte === LINE_FEED ? ChunkPart.TrailerStart : undefined,
  [ChunkPart.LastLineFeed]: (_, byte) => byte === LINE_FEED ? ChunkPart.End : undefined
}

/** Decodes one body, of which more arrives from time to time. */
export class ChunkedDecoder {
  private part = ChunkPart.Size
  private size = 0
  private digits = 0
  private dataLeft = 0
  /** Counted by the handlers. */
  extensionBytes = 0
  trailerBytes = 0
  /** The data of the last call, which lies in the decoded bytes from one position to the other. */
  dataStart = 0
  dataEnd = 0
  /** Position behind what the last call has decoded. */
  position = 0

  /**
   * Decodes what has arrived. The data is moved together in place, so that no memory is needed for it.
   * @param bytes what has arrived; changed
   * @param start where the body goes on
   * @returns what is known of the body now
   */
  decode (bytes: Uint8Array, start: number): ChunkedState {
    this.position = this.dataStart = this.dataEnd = start
    while (this.position < bytes.length) {
      if (this.part === ChunkPart.End) break
      if (this.part === ChunkPart.Data) {
        this.takeData(bytes)
        continue
      }
      const next = HANDLERS[this.part](this, bytes[this.position]!)
      if (next === undefined) return ChunkedState.Malformed
      if (this.extensionBytes > MAX_EXTENSION_BYTES || this.trailerBytes > MAX_TRAILER_BYTES) return ChunkedState.TooLong
      this.part = next
      this.position++
    }
    return this.part === ChunkPart.End ? ChunkedState.Complete : ChunkedState.Incomplete
  }

  /** Handles a byte of a size. @returns what follows it */
  readSizeByte (byte: number): ChunkPart | undefined {
    const digit = DIGITS[byte]!
    if (digit !== NOT_A_DIGIT) {
      this.size = this.size * RADIX + digit
      return ++this.digits <= MAX_SIZE_DIGITS ? ChunkPart.Size : undefined
    }
    if (this.digits === 0) return undefined
    if (byte === CARRIAGE_RETURN) return ChunkPart.SizeLineFeed
    return byte === SEMICOLON ? ChunkPart.Extension : undefined
  }

  /** Handles the end of a size. @returns what follows it */
  startChunk (): ChunkPart {
    this.dataLeft = this.size
    this.size = 0
    this.digits = 0
    return this.dataLeft === 0 ? ChunkPart.TrailerStart : ChunkPart.Data
  }

  private takeData (bytes: Uint8Array): void {
    const length = Math.min(this.dataLeft, bytes.length - this.position)
    if (this.dataEnd === this.dataStart) this.dataStart = this.dataEnd = this.position
    else if (length === 1) bytes[this.dataEnd] = bytes[this.position]!
    else bytes.copyWithin(this.dataEnd, this.position, this.position + length)
    this.dataEnd += length
    this.position += length
    this.dataLeft -= length
    if (this.dataLeft === 0) this.part = ChunkPart.DataReturn
  }
}
