/** A connected socket whose other side is the test. */
import type { Socket } from 'node:net'
import { Duplex } from 'node:stream'

/** Longer writes are held by a socket that holds writes. */
export const MAX_HEAD_BYTES = 1_024
/** Enough for a stream to pass on what it was given, and for its callbacks. */
const TURNS = 4

/** What a test pushes is received; what is written is taken at once, unless the socket holds it. */
export class FakeSocket extends Duplex {
  /** Takes the long write that is held. */
  finishWrite: () => void = () => {}

  /** @param holdsLongWrites whether a write of more than {@link MAX_HEAD_BYTES} waits for {@link FakeSocket.finishWrite} */
  constructor (private readonly holdsLongWrites = false) {
    super()
  }

  /** @returns the same as the type that connections expect */
  get asSocket (): Socket {
    return this as unknown as Socket
  }

  override _read (): void {}

  override _write (chunk: Buffer, _encoding: BufferEncoding, callback: () => void): void {
    if (this.holdsLongWrites && chunk.length > MAX_HEAD_BYTES) this.finishWrite = callback
    else callback()
  }
}

/** Lets streams and their callbacks run. */
export async function runTurns (): Promise<void> {
  for (let turn = 0; turn < TURNS; turn++) await new Promise((resolve) => { setImmediate(resolve) })
}
