/** The rows that an entry VM knows, and which of them are still to be sent to whom. */
import type { Instant } from '@umberspar/base/common/clock'
import { type ExchangeRow, ExchangeTopic, ROW_LIFETIME_MS } from './exchangeRow.js'

/** From where a VM has a row, which decides to whom it passes the row on. */
export enum RowOrigin {
  /** This VM wrote it. */
  Own = 'own',
  /** A VM of this failure domain wrote it; this VM is its relay. */
  Domain = 'domain',
  /** A relay of another failure domain passed it on. */
  OtherDomain = 'other-domain',
  /** A relay of this failure domain passed it on; it goes no further. */
  Relay = 'relay'
}

/** A row with what is needed to pass it on. */
export interface StoredRow {
  readonly row: ExchangeRow
  readonly origin: RowOrigin
  /** Rises with each accepted row; a destination has got all rows up to some number. */
  readonly sequence: number
}

/** A row counts as newer only if it is by at least this much: the same row arrives by two ways, with different estimates of its age. */
const MIN_GAIN_MS = 10
/** Limit on the rows of one topic, about 200 bytes each; rows of further keys are not accepted. */
const MAX_ROWS_PER_TOPIC = 20_000

/** The rows known to one VM. */
export class ExchangeTable {
  private readonly topics = new Map<ExchangeTopic, Map<string, StoredRow>>(Object.values(ExchangeTopic).map((topic) => [topic, new Map()]))
  private lastSequence = 0

  /** @returns the number of the last row that was accepted */
  get sequence (): number {
    return this.lastSequence
  }

  /**
   * @param row a row
   * @param origin from where it is
   * @returns whether the row is newer than the one known and was accepted
   */
  put (row: ExchangeRow, origin: RowOrigin): boolean {
    const rows = this.topics.get(row.topic)!
    const known = rows.get(row.key)
    const isAccepted = known === undefined ? rows.size < MAX_ROWS_PER_TOPIC : isNewer(row, origin, known)
    if (isAccepted) this.set(rows, { row, origin })
    else if (known !== undefined && isMissedByRelay(row, origin, known)) this.set(rows, { row: known.row, origin })
    return isAccepted
  }

  /** Moves the row to the end, so that the rows of a topic stay in the order of their sequence numbers. */
  private set (rows: Map<string, StoredRow>, { row, origin }: Omit<StoredRow, 'sequence'>): void {
    rows.delete(row.key)
    rows.set(row.key, { row, origin, sequence: ++this.lastSequence })
  }

  /**
   * @param topic a topic
   * @returns its rows
   */
  * listRows (topic: ExchangeTopic): Iterable<ExchangeRow> {
    for (const { row } of this.topics.get(topic)!.values()) yield row
  }

  /**
   * @param sequence the number of the last row that the destination has got
   * @param origins the origins whose rows the destination gets
   * @returns the rows accepted since, the newest of a topic first
   */
  listAfter (sequence: number, origins: ReadonlySet<RowOrigin>): StoredRow[] {
    const changed: StoredRow[] = []
    if (sequence === this.lastSequence) return changed
    for (const rows of this.topics.values()) {
      const newer: StoredRow[] = []
      for (const stored of rows.values()) if (stored.sequence > sequence && origins.has(stored.origin)) newer.push(stored)
      changed.push(...newer.reverse())
    }
    return changed
  }

  /** @param now the current time; rows that were not renewed for {@link ROW_LIFETIME_MS} are removed */
  removeExpired (now: Instant): void {
    for (const rows of this.topics.values()) {
      for (const [key, { row }] of rows) {
        if (now - row.at > ROW_LIFETIME_MS) rows.delete(key)
      }
    }
  }

  /** @returns the number of rows that other VMs wrote; 0 if no messages arrive */
  countReceived (): number {
    let count = 0
    for (const rows of this.topics.values()) {
      for (const { origin } of rows.values()) count += Number(origin !== RowOrigin.Own)
    }
    return count
  }
}

/** What this VM states itself replaces its former statement whatever the instants say. */
function isNewer (row: ExchangeRow, origin: RowOrigin, known: StoredRow): boolean {
  if (origin === RowOrigin.Own && known.origin === RowOrigin.Own) return row.at >= known.row.at
  return row.at >= known.row.at + MIN_GAIN_MS
}

/** The other relay of the domain was faster. This one passes the row on all the same, as the other may not reach everyone. */
function isMissedByRelay (row: ExchangeRow, origin: RowOrigin, known: StoredRow): boolean {
  return known.origin === RowOrigin.Relay && origin !== RowOrigin.Relay && row.at > known.row.at - MIN_GAIN_MS
}
