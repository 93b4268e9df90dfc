/**
 * Exchanges rows about load with the other entry VMs. A VM sends what it states itself to two relays
 * of its failure domain; a relay passes it on to the VMs of the domain and to two relays of each other
 * domain. A VM is a relay while it receives rows to pass on.
 */
import type { IClock, Instant, ITimer } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { type DomainAggregation, type ExchangeListener, type ExchangeRow, ExchangeScope, type ExchangeTopic, type IFleetExchange, SCOPE_BY_TOPIC } from '@umberspar/steering/common/entry/exchange/exchangeRow'
import { ExchangeTable, RowOrigin } from '@umberspar/steering/common/entry/exchange/exchangeTable'
import { RowInterest } from '@umberspar/steering/common/entry/exchange/rowInterest'
import { RelayRanking } from '@umberspar/steering/common/entry/exchange/relayRanking'
import type { DomainRoundTrips } from '@umberspar/steering/common/entry/placement/domainRoundTrips'
import type { EntryNode } from '@umberspar/steering/common/entry/records'
import { ExchangeHop, type ExchangeMessage, formatDatagrams, parseDatagram, toLocalRow } from './exchangeMessages.js'
import { splitAddress } from '../address.js'
import type { IDatagramSocket } from './datagramSocket.js'

/** What the exchange uses. */
export interface FleetExchangeOptions {
  readonly clock: IClock
  readonly socket: IDatagramSocket
  readonly self: EntryNode
  readonly regionByDomain: ReadonlyMap<string, string>
  readonly roundTrips: DomainRoundTrips
  /** @returns the registered entry VMs */
  listNodes(): Iterable<EntryNode>
  /** @returns the failure domain of a row's subject; undefined if it has none or it is not known */
  findSubjectDomain(row: ExchangeRow): string | undefined
  /** @returns whether this process has been unable to run, so that datagrams may be older than they seem */
  isLate(): boolean
  /** Called if datagrams can't be received. */
  onError(error: Error): void
}

/** How often new rows are sent, within a region. */
const INTERVAL_MS = 100
/** How often new rows are sent to other regions. */
const FAR_INTERVAL_MS = 300
/** How often a VM without new rows shows that it is running. */
const HEARTBEAT_MS = 500
/** How often the rows of the own failure domain are summed up, and expired rows removed. */
const AGGREGATION_INTERVAL_MS = 1_000
/** A VM is a relay for this long after it has received rows to pass on. */
const RELAY_LEASE_MS = 2_000
/** A relay sends at most this many datagrams a second to each kind of destination; with more destinations, its intervals are longer. */
const MAX_DATAGRAMS_PER_SECOND = 300
const MS_PER_SECOND = 1_000

const OWN: ReadonlySet<RowOrigin> = new Set([RowOrigin.Own])
const OWN_DOMAIN: ReadonlySet<RowOrigin> = new Set([RowOrigin.Own, RowOrigin.Domain])
const RELAYED: ReadonlySet<RowOrigin> = new Set([RowOrigin.Own, RowOrigin.Domain, RowOrigin.OtherDomain])

const ORIGIN_BY_HOP: Readonly<Record<ExchangeHop, RowOrigin>> = {
  [ExchangeHop.ToRelay]: RowOrigin.Domain,
  [ExchangeHop.BetweenDomains]: RowOrigin.OtherDomain,
  [ExchangeHop.ToMembers]: RowOrigin.Relay
}

/** What was sent to one destination. */
interface Progress {
  sequence: number
  nextAt: Instant
  heartbeatAt: Instant
}

/** The exchange of one VM. */
export class FleetExchange implements IFleetExchange, IClosable {
  private readonly table = new ExchangeTable()
  private readonly interest: RowInterest
  private readonly ranking: RelayRanking
  private readonly listeners = new Map<ExchangeTopic, ExchangeListener[]>()
  private readonly aggregations: DomainAggregation[] = []
  private readonly progressByDestination = new Map<string, Progress>()
  /** When each relay of another failure domain was last heard. */
  private readonly heardAt = new Map<string, Instant>()
  private nodesByName = new Map<string, EntryNode>()
  private relayUntil: Deadline = Number.NEGATIVE_INFINITY
  private nextAggregationAt: Instant = 0
  private timer: ITimer | undefined
  private sentBytesCount = 0
  private discardedCount = 0

  /** @param options what it uses */
  constructor (private readonly options: FleetExchangeOptions) {
    this.ranking = new RelayRanking(options.self.name)
    this.interest = new RowInterest(options.regionByDomain)
    this.updateNodes()
  }

  /** Starts to receive and to send. */
  start (): void {
    const { socket, self, onError } = this.options
    socket.listen(self.exchangeAddress!, (datagram, host) => { this.handleDatagram(datagram, host) }, onError)
    this.schedule()
  }

  /** Takes the registered VMs over after a change. */
  updateNodes (): void {
    const { self, listNodes } = this.options
    this.nodesByName = new Map([...listNodes()].map((node) => [node.name, node]))
    this.nodesByName.set(self.name, self)
    this.ranking.setNodes([...this.nodesByName.values()])
  }

  publish (row: ExchangeRow): void {
    this.table.put(row, RowOrigin.Own)
    this.interest.record(row.key, this.options.self.domain, row.at)
  }

  listRows (topic: ExchangeTopic): Iterable<ExchangeRow> {
    return this.table.listRows(topic)
  }

  onDidReceive (topic: ExchangeTopic, listener: ExchangeListener): void {
    this.listeners.set(topic, [...this.listeners.get(topic) ?? [], listener])
  }

  addAggregation (aggregation: DomainAggregation): void {
    this.aggregations.push(aggregation)
  }

  /** @returns what was sent and discarded so far, and what is known, for metrics */
  readCounts (): { readonly sentBytes: number, readonly discarded: number, readonly rows: number, readonly isRelay: boolean } {
    return { sentBytes: this.sentBytesCount, discarded: this.discardedCount, rows: this.table.countReceived(), isRelay: this.isRelay(this.options.clock.now()) }
  }

  close (): void {
    this.timer?.close()
    this.options.socket.close()
  }

  private schedule (): void {
    const { clock } = this.options
    this.timer = clock.schedule(clock.now() + INTERVAL_MS, () => {
      this.sendDue()
      this.schedule()
    })
  }

  private isRelay (now: Instant): boolean {
    return !hasPassed(this.relayUntil, now)
  }

  private sendDue (): void {
    const { clock, self } = this.options
    const now = clock.now()
    for (const { name, exchangeAddress } of this.ranking.chooseRelays(self.domain, now)) {
      if (name === self.name) this.relayUntil = createDeadline(now, RELAY_LEASE_MS)
      else this.sendTo(`relay ${name}`, ExchangeHop.ToRelay, [exchangeAddress!], OWN, INTERVAL_MS, now)
    }
    if (!this.isRelay(now)) return
    this.updateAggregates(now)
    this.sendToMembers(now)
    this.sendToOtherDomains(now)
  }

  private sendToMembers (now: Instant): void {
    const { self } = this.options
    const addresses = this.ranking.listMembers(self.domain).filter(({ name }) => name !== self.name).map(({ exchangeAddress }) => exchangeAddress!)
    const isWanted = (row: ExchangeRow): boolean => SCOPE_BY_TOPIC[row.topic] !== ExchangeScope.DomainRelays && this.isWantedIn(self.domain, row, now)
    if (addresses.length > 0) this.sendTo('members', ExchangeHop.ToMembers, addresses, RELAYED, computeInterval(INTERVAL_MS, addresses.length), now, isWanted)
  }

  private sendToOtherDomains (now: Instant): void {
    const { self, regionByDomain } = this.options
    const ownRegion = regionByDomain.get(self.domain)
    const domains = this.ranking.listDomains().filter((domain) => domain !== self.domain)
    const nearCount = domains.filter((domain) => regionByDomain.get(domain) === ownRegion).length
    for (const domain of domains) {
      const isNear = regionByDomain.get(domain) === ownRegion
      const intervalMs = isNear ? computeInterval(INTERVAL_MS, nearCount) : computeInterval(FAR_INTERVAL_MS, domains.length - nearCount)
      const isWanted = (row: ExchangeRow): boolean => SCOPE_BY_TOPIC[row.topic] !== ExchangeScope.DomainRelays && this.isWantedIn(domain, row, now)
      this.sendTo(`domain ${domain}`, ExchangeHop.BetweenDomains, this.listRelayAddresses(domain, now), OWN_DOMAIN, intervalMs, now, isWanted)
    }
  }

  /** The chosen relays, and those that send to this VM: each hears the VMs that use it. */
  private listRelayAddresses (domain: string, now: Instant): string[] {
    const chosen = this.ranking.chooseRelays(domain, now)
    const sending = this.ranking.listMembers(domain).filter(({ name }) => now - (this.heardAt.get(name) ?? Number.NEGATIVE_INFINITY) <= RELAY_LEASE_MS)
    return [...new Set([...chosen, ...sending].map(({ exchangeAddress }) => exchangeAddress!))]
  }

  private isWantedIn (domain: string, row: ExchangeRow, now: Instant): boolean {
    return SCOPE_BY_TOPIC[row.topic] === ExchangeScope.Fleet || this.interest.isWantedIn(domain, row.key, this.options.findSubjectDomain(row), now)
  }

  private sendTo (destination: string, hop: ExchangeHop, addresses: readonly string[], origins: ReadonlySet<RowOrigin>, intervalMs: number, now: Instant, isWanted: (row: ExchangeRow) => boolean = () => true): void {
    const progress = this.getProgress(destination)
    if (now < progress.nextAt) return
    const rows = this.table.listAfter(progress.sequence, origins).map(({ row }) => row).filter(isWanted)
    progress.sequence = this.table.sequence
    if (rows.length === 0 && now < progress.heartbeatAt) return
    progress.nextAt = now + intervalMs - INTERVAL_MS / 2
    progress.heartbeatAt = now + HEARTBEAT_MS
    for (const datagram of formatDatagrams(this.options.self.name, hop, rows, now)) {
      for (const address of addresses) this.options.socket.send(datagram, address)
      this.sentBytesCount += datagram.length * addresses.length
    }
  }

  private getProgress (destination: string): Progress {
    let progress = this.progressByDestination.get(destination)
    if (progress === undefined) {
      progress = { sequence: 0, nextAt: Number.NEGATIVE_INFINITY, heartbeatAt: Number.NEGATIVE_INFINITY }
      this.progressByDestination.set(destination, progress)
    }
    return progress
  }

  private updateAggregates (now: Instant): void {
    if (now < this.nextAggregationAt) return
    this.nextAggregationAt = now + AGGREGATION_INTERVAL_MS
    this.table.removeExpired(now)
    const { domain } = this.options.self
    for (const aggregation of this.aggregations) {
      const rows = [...this.table.listRows(aggregation.from)].filter(({ key }) => this.nodesByName.get(key)?.domain === domain)
      const content = aggregation.compute(rows, now)
      if (content === undefined) continue
      const row = { topic: aggregation.to, key: domain, content, at: now }
      this.table.put(row, RowOrigin.Own)
      this.fire(row)
    }
  }

  private handleDatagram (datagram: Buffer, host: string): void {
    const message = parseDatagram(datagram)
    const sender = message === undefined ? undefined : this.nodesByName.get(message.from)
    const isKnown = sender?.exchangeAddress !== undefined && splitAddress(sender.exchangeAddress).host === host
    if (message === undefined || !isKnown || this.options.isLate() || !this.isExpected(message, sender)) {
      this.discardedCount++
      return
    }
    this.handleMessage(message, sender)
  }

  /** Rows of VMs of another failure domain come by way of its relays only. */
  private isExpected ({ hop }: ExchangeMessage, { domain }: EntryNode): boolean {
    return (domain === this.options.self.domain) === (hop !== ExchangeHop.BetweenDomains)
  }

  private handleMessage ({ from, hop, rows }: ExchangeMessage, { domain }: EntryNode): void {
    const { clock, roundTrips } = this.options
    const now = clock.now()
    if (hop !== ExchangeHop.ToRelay) this.ranking.recordMessage(from, now)
    if (hop !== ExchangeHop.ToMembers) this.relayUntil = createDeadline(now, RELAY_LEASE_MS)
    if (hop === ExchangeHop.BetweenDomains) this.heardAt.set(from, now)
    const travelMs = roundTrips.getRoundTripMs(domain) / 2
    for (const sent of rows) {
      const row = toLocalRow(sent, now, travelMs)
      if (row === undefined) continue
      if (hop !== ExchangeHop.ToMembers) this.interest.record(row.key, domain, row.at)
      if (this.table.put(row, ORIGIN_BY_HOP[hop])) this.fire(row)
    }
  }

  private fire (row: ExchangeRow): void {
    for (const listener of this.listeners.get(row.topic) ?? []) listener(row)
  }
}

/** @returns the interval in which a relay sends to this many destinations, in milliseconds */
function computeInterval (intervalMs: number, destinations: number): number {
  return Math.max(intervalMs, destinations * MS_PER_SECOND / MAX_DATAGRAMS_PER_SECOND)
}
