/** The state of the users' store stand-in: items, leases, and a history that can be compacted. */

/** One item, or its removal. */
export interface StoredItem {
  readonly key: string
  readonly value: string
  readonly revision: number
  readonly created: number
  readonly lease: number
  readonly isRemoved: boolean
}

/** A transaction. */
export interface StoreTransaction {
  readonly expected: ReadonlyArray<{ readonly key: string, readonly revision: number }>
  readonly puts: ReadonlyArray<{ readonly key: string, readonly value: string, readonly lease: number }>
  readonly removals: readonly string[]
}

/** An earlier state of the store, from which it can come back. */
export interface StoreCopy {
  readonly revision: number
  readonly lastLease: number
  readonly items: ReadonlyMap<string, StoredItem>
  /** The time to live of each lease, in milliseconds. */
  readonly leases: ReadonlyMap<number, number>
}

/** How a transaction ended. */
export enum TransactionEnd {
  Done = 'done',
  ConditionFailed = 'condition-failed',
  NoLease = 'no-lease'
}

interface Lease {
  readonly ttlMs: number
  endsAt: number
}

/** The state; the current time is passed in. */
export class RecordStoreState {
  private items = new Map<string, StoredItem>()
  private leases = new Map<number, Lease>()
  /** Every change with its time; reads of an earlier state also need changes that were compacted for watches. */
  private changes: Array<{ readonly item: StoredItem, readonly at: number }> = []
  private droppedUpTo = 0
  private lastLease = 70_000
  revision = 1
  /** How often the store has come back from an older copy. */
  era = 0

  /** @returns the item, if it exists */
  get (key: string): StoredItem | undefined {
    return this.items.get(key)
  }

  /** @returns the items whose key begins with a prefix and comes after another, in the order of keys */
  list (prefix: string, after = ''): StoredItem[] {
    return [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1))
  }

  /**
   * @param at an instant, on the clock of `performance`
   * @returns the items at that time and the revision of that state
   */
  listAsOf (prefix: string, after: string, at: number): { readonly items: StoredItem[], readonly revision: number } {
    const items = new Map<string, StoredItem>()
    let revision = 1
    for (const change of this.changes) {
      if (change.at > at) break
      revision = change.item.revision
      if (change.item.isRemoved) items.delete(change.item.key)
      else items.set(change.item.key, change.item)
    }
    const listed = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after)
    return { items: listed.sort((left, right) => (left.key < right.key ? -1 : 1)), revision }
  }

  /** @returns the changes after a revision, or undefined if they were compacted */
  listChanges (prefix: string, after: number): StoredItem[] | undefined {
    if (after < this.droppedUpTo || after > this.revision) return undefined
    return this.changes.map(({ item }) => item).filter(({ key, revision }) => revision > after && key.startsWith(prefix))
  }

  /** @returns a copy of the present state */
  createCopy (): StoreCopy {
    return { revision: this.revision, lastLease: this.lastLease, items: new Map(this.items), leases: new Map([...this.leases].map(([id, { ttlMs }]) => [id, ttlMs])) }
  }

  /** Goes back to a copy: later revisions and lease ids are given out again. */
  resetTo ({ revision, lastLease, items, leases }: StoreCopy, now: number): void {
    this.era++
    this.revision = revision
    this.lastLease = lastLease
    this.items = new Map(items)
    this.leases = new Map([...leases].map(([id, ttlMs]) => [id, { ttlMs, endsAt: now + ttlMs }]))
    this.changes = this.changes.filter(({ item }) => item.revision <= revision)
    this.droppedUpTo = Math.min(this.droppedUpTo, revision)
  }

  /** @returns the removals after a revision */
  listRemovalsAfter (revision: number): StoredItem[] {
    return this.changes.map(({ item }) => item).filter((item) => item.isRemoved && item.revision > revision)
  }

  /** Compacts the history. */
  clearHistory (): void {
    this.droppedUpTo = this.revision
  }

  /** Writes without conditions, as the operator and the workers do. */
  put (key: string, value: string, lease = 0): void {
    const revision = ++this.revision
    const item = { key, value, revision, created: this.items.get(key)?.created ?? revision, lease, isRemoved: false }
    this.items.set(key, item)
    this.recordChange(item)
  }

  /** Removes without conditions. */
  remove (key: string): void {
    const item = this.items.get(key)
    if (item === undefined) return
    this.items.delete(key)
    this.recordChange({ ...item, revision: ++this.revision, isRemoved: true })
  }

  /** Executes a transaction atomically. */
  transact ({ expected, puts, removals }: StoreTransaction): TransactionEnd {
    if (expected.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) return TransactionEnd.ConditionFailed
    if (puts.some(({ lease }) => lease !== 0 && !this.leases.has(lease))) return TransactionEnd.NoLease
    for (const { key, value, lease } of puts) this.put(key, value, lease)
    for (const key of removals) this.remove(key)
    return TransactionEnd.Done
  }

  /** @returns a new lease's id */
  createLease (ttlMs: number, now: number): number {
    this.leases.set(++this.lastLease, { ttlMs, endsAt: now + ttlMs })
    return this.lastLease
  }

  /** @returns the lease's time, or undefined if it has ended */
  renewLease (id: number, now: number): number | undefined {
    const lease = this.leases.get(id)
    if (lease === undefined) return undefined
    lease.endsAt = now + lease.ttlMs
    return lease.ttlMs
  }

  /** Ends a lease, and removes its items. */
  endLease (id: number): boolean {
    if (!this.leases.delete(id)) return false
    for (const { key, lease } of [...this.items.values()]) {
      if (lease === id) this.remove(key)
    }
    return true
  }

  /** Ends expired leases. */
  endDueLeases (now: number): void {
    for (const [id, { endsAt }] of this.leases) {
      if (endsAt <= now) this.endLease(id)
    }
  }

  /** Ends all leases, as an outage might. */
  endAllLeases (): void {
    for (const id of [...this.leases.keys()]) this.endLease(id)
  }

  private recordChange (item: StoredItem): void {
    this.changes.push({ item, at: performance.now() })
  }
}
