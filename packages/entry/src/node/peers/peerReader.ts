/** Asks other entry VMs for the records while the store does not answer this one. */
import { get } from 'node:http'
import type { IClock, ITimer } from '@umberspar/base/common/clock'
import type { IRandomSource } from '@umberspar/base/common/random'
import { type ILogger, LogLevel } from '@umberspar/base/common/logger'
import { splitAddress } from '../address.js'
import type { VouchedSnapshot } from './vouchedSnapshot.js'

/** The path at which entry VMs tell each other their records. */
export const RECORDS_PATH = '/v1/records'

/**
 * Between two rounds of questions, in milliseconds: a leaving worker must get no
 * new requests after 2.5 s, and a round may hit peers that know nothing either.
 */
const ROUND_MS = 500
/** Peers asked in a round. */
const PEERS_PER_ROUND = 2
/** A peer that takes longer says nothing, in milliseconds. */
const ANSWER_MS = 450
/** A snapshot that is longer is refused; one of 3,500 workers takes about a megabyte. */
const MOST_BYTES = 16_777_216
const OK = 200
const NOT_MODIFIED = 304

/** Who is told what peers answer. */
export interface PeerListener {
  /** @returns the revision that is known already */
  getRevision(): number
  onSnapshot(snapshot: VouchedSnapshot): void
  /** A peer in touch with the store knows nothing newer than this revision. */
  onVouched(revision: number): void
}

/** Who may be asked. */
export interface PeerAddresses {
  /** @returns `host:port` of the other entry VMs' listeners for peers */
  listPeers(): readonly string[]
}

/** Asks peers, round by round, between `start` and `stop`. */
export class PeerReader {
  private timer: ITimer | undefined
  private isRunning = false

  /**
   * @param clock for rounds and time limits
   * @param random for whom to ask
   * @param addresses who may be asked
   * @param logger told of answers that cannot be read
   */
  constructor (
    private readonly clock: IClock,
    private readonly random: IRandomSource,
    private readonly addresses: PeerAddresses,
    private readonly logger: ILogger
  ) {}

  /** @param listener told of each answer */
  start (listener: PeerListener): void {
    if (this.isRunning) return
    this.isRunning = true
    this.runRound(listener)
  }

  /** Asks nothing more. */
  stop (): void {
    this.isRunning = false
    this.timer?.close()
    this.timer = undefined
  }

  private runRound (listener: PeerListener): void {
    if (!this.isRunning) return
    for (const address of this.choosePeers()) this.ask(address, listener.getRevision(), listener)
    this.timer = this.clock.schedule(this.clock.now() + ROUND_MS, () => { this.runRound(listener) })
  }

  private choosePeers (): string[] {
    const all = [...this.addresses.listPeers()]
    const chosen: string[] = []
    while (chosen.length < PEERS_PER_ROUND && all.length > 0) {
      chosen.push(...all.splice(Math.floor(this.random.next() * all.length), 1))
    }
    return chosen
  }

  private ask (address: string, revision: number, listener: PeerListener): void {
    const request = get({ ...splitAddress(address), path: `${RECORDS_PATH}?after=${revision}`, agent: false }, (response) => {
      const chunks: Buffer[] = []
      let length = 0
      response.on('data', (chunk: Buffer) => {
        length += chunk.length
        if (length > MOST_BYTES) request.destroy()
        else chunks.push(chunk)
      })
      response.on('end', () => {
        timer.close()
        if (!this.isRunning) return
        if (response.statusCode === NOT_MODIFIED) listener.onVouched(revision)
        if (response.statusCode === OK) this.read(address, Buffer.concat(chunks), listener)
      })
      response.on('error', () => { timer.close() })
    })
    const timer = this.clock.schedule(this.clock.now() + ANSWER_MS, () => { request.destroy() })
    // A peer that cannot be reached is one of several; the next round asks others.
    request.on('error', () => { timer.close() })
  }

  private read (address: string, bytes: Buffer, listener: PeerListener): void {
    try {
      listener.onSnapshot(JSON.parse(bytes.toString()) as VouchedSnapshot)
    } catch (thrown) {
      this.logger.log(LogLevel.Warn, { step: 'read-peer-records', peer: address, reason: String(thrown) }, 'a peer sent something else than records')
    }
  }
}
