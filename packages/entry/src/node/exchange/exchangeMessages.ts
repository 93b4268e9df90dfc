/** The datagrams by which entry VMs exchange rows about load. */
import type { Instant } from '@umberspar/base/common/clock'
import { type ExchangeContent, type ExchangeRow, ExchangeTopic } from '@umberspar/steering/common/entry/exchange/exchangeRow'

/** How far a message is on its way. The numbers are sent to other VMs. */
export enum ExchangeHop {
  /** From a VM to a relay of its failure domain. */
  ToRelay = 0,
  /** From a relay to a relay of another failure domain. */
  BetweenDomains = 1,
  /** From a relay to the VMs of its failure domain. */
  ToMembers = 2
}

/** A row as it is sent: its topic, its key, its age in milliseconds, its content. */
type SentRow = readonly [topic: string, key: string, ageMs: number, content: ExchangeContent]

/** A message that was received. */
export interface ExchangeMessage {
  /** The sending VM's name. */
  readonly from: string
  readonly hop: ExchangeHop
  readonly rows: readonly SentRow[]
}

/** Datagrams up to this size cross usual networks in one piece. */
const MAX_DATAGRAM_BYTES = 1_200
const FORMAT_VERSION = 1
/** Topic, key, age and content. */
const SENT_ROW_LENGTH = 4

const HOPS: ReadonlySet<unknown> = new Set([ExchangeHop.ToRelay, ExchangeHop.BetweenDomains, ExchangeHop.ToMembers])
const TOPICS: ReadonlySet<string> = new Set(Object.values(ExchangeTopic))

/**
 * @param from the sending VM's name
 * @param hop how far the message is on its way
 * @param rows the rows; none for a message that only shows that the VM is running
 * @param now the current time
 * @param maxDatagrams limit on the datagrams; rows beyond it are left out
 * @returns the datagrams, at least one; a row that fits into none is left out
 */
export function formatDatagrams (from: string, hop: ExchangeHop, rows: readonly ExchangeRow[], now: Instant, maxDatagrams = Number.POSITIVE_INFINITY): Buffer[] {
  const head = `{"v":${FORMAT_VERSION},"from":${JSON.stringify(from)},"hop":${hop},"rows":[`
  const maxLength = MAX_DATAGRAM_BYTES - Buffer.byteLength(head) - ']}'.length
  const datagrams: Buffer[] = []
  let texts: string[] = []
  let length = 0
  const finishDatagram = (): void => {
    datagrams.push(Buffer.from(`${head}${texts.join(',')}]}`))
    texts = []
    length = 0
  }
  for (const { topic, key, content, at } of rows) {
    const text = JSON.stringify([topic, key, Math.max(0, Math.round(now - at)), content])
    const bytes = Buffer.byteLength(text) + 1
    if (bytes > maxLength) continue
    if (length + bytes > maxLength) finishDatagram()
    if (datagrams.length >= maxDatagrams) return datagrams
    texts.push(text)
    length += bytes
  }
  if (texts.length > 0 || datagrams.length === 0) finishDatagram()
  return datagrams
}

/** Checked by hand: a VM receives tens of datagrams a second, and a schema takes a third of the time for reading one. */
function isMessage (value: unknown): value is ExchangeMessage {
  if (typeof value !== 'object' || value === null) return false
  const { v, from, hop, rows } = value as Record<string, unknown>
  return v === FORMAT_VERSION && typeof from === 'string' && HOPS.has(hop) && Array.isArray(rows) && rows.every(isSentRow)
}

function isSentRow (value: unknown): value is SentRow {
  if (!Array.isArray(value) || value.length !== SENT_ROW_LENGTH) return false
  const [topic, key, ageMs] = value as unknown[]
  return typeof topic === 'string' && typeof key === 'string' && typeof ageMs === 'number' && Number.isFinite(ageMs) && ageMs >= 0
}

/**
 * @param datagram a datagram
 * @returns its message; undefined if it is not one of this format
 */
export function parseDatagram (datagram: Buffer): ExchangeMessage | undefined {
  try {
    const message: unknown = JSON.parse(datagram.toString())
    return isMessage(message) ? message : undefined
  } catch {
    // Another version, or another program: counted by the caller.
    return undefined
  }
}

/**
 * @param sent a row as it was received
 * @param now the current time
 * @param travelMs estimated time on the way, in milliseconds
 * @returns the row on this VM's clock; undefined if this version does not know the topic
 */
export function toLocalRow ([topic, key, ageMs, content]: SentRow, now: Instant, travelMs: number): ExchangeRow | undefined {
  return TOPICS.has(topic) ? { topic: topic as ExchangeTopic, key, content, at: now - ageMs - travelMs } : undefined
}
