/** Sends the rows of the exchange to their destinations, each row once, at a bounded rate. */
import type { Instant } from '@umberspar/base/common/clock'
import type { ExchangeRow } from '@umberspar/steering/common/entry/exchange/exchangeRow'
import type { ExchangeTable, RowOrigin } from '@umberspar/steering/common/entry/exchange/exchangeTable'
import { computeMaxDatagrams, computePaceMs, HEARTBEAT_MS, sortRows } from '@umberspar/steering/common/entry/exchange/relayPace'
import type { IDatagramSocket } from './datagramSocket.js'
import { type ExchangeHop, formatDatagrams } from './exchangeMessages.js'

/** How often the sender is called. */
export const SENDING_INTERVAL_MS = 100

/** Where rows are sent to, and which ones. */
export interface Destination {
  readonly name: string
  readonly hop: ExchangeHop
  readonly addresses: readonly string[]
  /** The datagrams of a round in which each address of each destination of this kind gets one. */
  readonly datagramsPerRound: number
  readonly intervalMs: number
  readonly origins: ReadonlySet<RowOrigin>
  /** @returns whether the destination gets a row */
  isWanted(row: ExchangeRow): boolean
}

/** What was sent to one destination. */
interface Progress {
  /** The number of messages. */
  round: number
  sequence: number
  nextAt: Instant
  heartbeatAt: Instant
}

/** The sender of one VM. */
export class ExchangeSender {
  private readonly progressByDestination = new Map<string, Progress>()
  private sentBytesCount = 0

  /**
   * @param from this VM's name
   * @param socket sends the datagrams
   * @param table the known rows
   */
  constructor (private readonly from: string, private readonly socket: Pick<IDatagramSocket, 'send'>, private readonly table: ExchangeTable) {}

  /** The bytes that were sent so far. */
  get sentBytes (): number {
    return this.sentBytesCount
  }

  /** The number of destinations that something was sent to. */
  get destinationCount (): number {
    return this.progressByDestination.size
  }

  /** @param names the destinations that still exist; the others are forgotten */
  removeOthers (names: ReadonlySet<string>): void {
    for (const name of this.progressByDestination.keys()) if (!names.has(name)) this.progressByDestination.delete(name)
  }

  /**
   * Sends the rows that the destination has not got yet, if its next message is due.
   * @param destination the destination
   * @param now the current time
   */
  send ({ name, hop, addresses, datagramsPerRound, intervalMs, origins, isWanted }: Destination, now: Instant): void {
    const progress = this.getProgress(name)
    if (now < progress.nextAt) return
    const rows = this.table.listAfter(progress.sequence, origins).map(({ row }) => row).filter(isWanted)
    progress.sequence = this.table.sequence
    if (rows.length === 0 && now < progress.heartbeatAt) return
    const datagrams = formatDatagrams(this.from, hop, sortRows(rows, progress.round++), now, computeMaxDatagrams(datagramsPerRound))
    progress.nextAt = now + Math.max(intervalMs, computePaceMs(datagrams.length * datagramsPerRound)) - SENDING_INTERVAL_MS / 2
    progress.heartbeatAt = now + HEARTBEAT_MS
    for (const datagram of datagrams) {
      for (const address of addresses) this.socket.send(datagram, address)
      this.sentBytesCount += datagram.length * addresses.length
    }
  }

  private getProgress (destination: string): Progress {
    let progress = this.progressByDestination.get(destination)
    if (progress === undefined) {
      progress = { round: 0, sequence: 0, nextAt: Number.NEGATIVE_INFINITY, heartbeatAt: Number.NEGATIVE_INFINITY }
      this.progressByDestination.set(destination, progress)
    }
    return progress
  }
}
