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
import { ExchangeHop, type ExchangeMessage, parseDatagram, toLocalRow } from './exchangeMessages.js'
import { ExchangeSender, SENDING_INTERVAL_MS } from './exchangeSender.js'
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

/** How often new rows are sent to other regions. */
const FAR_INTERVAL_MS = 500
/** How often the rows of the own failure domain are summed up, and expired rows removed. */
const AGGREGATION_INTERVAL_MS = 1_000
/** A VM is a relay for this long after it has received rows to pass on. */
const RELAY_LEASE_MS = 2_000
/** A VM that becomes a relay waits this long before it sums rows up: until then it has those of some VMs only. */
const AGGREGATION_WARM_UP_MS = 1_500

/** Names the other VMs of the failure domain as a destination. */
const MEMBERS = 'members'

const OWN: ReadonlySet<RowOrigin> = new Set([RowOrigin.Own])
const OWN_DOMAIN: ReadonlySet<RowOrigin> = new Set([RowOrigin.Own, RowOrigin.Domain])
const RELAYED: ReadonlySet<RowOrigin> = new Set([RowOrigin.Own, RowOrigin.Domain, RowOrigin.OtherDomain])

const ORIGIN_BY_HOP: Readonly<Record<ExchangeHop, RowOrigin>> = {
  [ExchangeHop.ToRelay]: RowOrigin.Domain,
  [ExchangeHop.BetweenDomains]: RowOrigin.OtherDomain,
  [ExchangeHop.ToMembers]: RowOrigin.Relay
}

/** The exchange of one VM. */
export class FleetExchange implements IFleetExchange, IClosable {
  private readonly table = new ExchangeTable()
  private readonly interest: RowInterest
  private readonly ranking: RelayRanking
  private readonly listeners = new Map<ExchangeTopic, ExchangeListener[]>()
  private readonly aggregations: DomainAggregation[] = []
  private readonly sender: ExchangeSender
  /** When the last message of each relay of another failure domain arrived. */
  private readonly heardAt = new Map<string, Instant>()
  private nodesByName = new Map<string, EntryNode>()
  private areNodesOutdated = true
  private relayUntil: Deadline = Number.NEGATIVE_INFINITY
  private nextAggregationAt: Instant = 0
  private nextExpiryAt: Instant = 0
  private timer: ITimer | undefined
  private discardedCount = 0

  /** @param options what it uses */
  constructor (private readonly options: FleetExchangeOptions) {
    this.ranking = new RelayRanking(options.self.name)
    this.interest = new RowInterest(options.regionByDomain)
    this.sender = new ExchangeSender(options.self.name, options.socket, this.table)
  }

  /** Starts to receive and to send. */
  start (): void {
    const { socket, self, onError } = this.options
    socket.listen(self.exchangeAddress!, (datagram, host) => { this.handleDatagram(datagram, host) }, onError)
    this.schedule()
  }

  /** Takes the registered VMs over after a change, before they are needed next: a fleet that starts changes hundreds of times. */
  updateNodes (): void {
    this.areNodesOutdated = true
  }

  private readNodes (): void {
    if (!this.areNodesOutdated) return
    this.areNodesOutdated = false
    const { self, listNodes } = this.options
    this.nodesByName = new Map([...listNodes()].map((node) => [node.name, node]))
    this.nodesByName.set(self.name, self)
    this.ranking.setNodes([...this.nodesByName.values()])
    for (const name of this.heardAt.keys()) if (!this.nodesByName.has(name)) this.heardAt.delete(name)
    this.sender.removeOthers(new Set([MEMBERS, ...this.ranking.listDomains().map(formatDomainName), ...[...this.nodesByName.keys()].map(formatRelayName)]))
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
  readCounts (): { readonly sentBytes: number, readonly discarded: number, readonly rows: number, readonly peers: number, readonly isRelay: boolean } {
    return { sentBytes: this.sender.sentBytes, discarded: this.discardedCount, rows: this.table.countReceived(), peers: this.sender.destinationCount + this.heardAt.size, isRelay: this.isRelay(this.options.clock.now()) }
  }

  close (): void {
    this.timer?.close()
    this.options.socket.close()
  }

  private schedule (): void {
    const { clock } = this.options
    this.timer = clock.schedule(clock.now() + SENDING_INTERVAL_MS, () => {
      this.sendDue()
      this.schedule()
    })
  }

  private isRelay (now: Instant): boolean {
    return !hasPassed(this.relayUntil, now)
  }

  private renewRelayLease (now: Instant): void {
    if (!this.isRelay(now)) this.nextAggregationAt = now + AGGREGATION_WARM_UP_MS
    this.relayUntil = createDeadline(now, RELAY_LEASE_MS)
  }

  private sendDue (): void {
    const { clock, self } = this.options
    const now = clock.now()
    this.readNodes()
    this.removeExpired(now)
    for (const { name, exchangeAddress } of this.ranking.chooseRelays(self.domain, now)) {
      if (name === self.name) this.renewRelayLease(now)
      else this.sender.send({ name: formatRelayName(name), hop: ExchangeHop.ToRelay, addresses: [exchangeAddress!], datagramsPerRound: 1, intervalMs: SENDING_INTERVAL_MS, origins: OWN, isWanted: () => true }, now)
    }
    if (!this.isRelay(now)) return
    this.updateAggregates(now)
    this.sendToMembers(now)
    this.sendToOtherDomains(now)
  }

  private removeExpired (now: Instant): void {
    if (now < this.nextExpiryAt) return
    this.nextExpiryAt = now + AGGREGATION_INTERVAL_MS
    this.table.removeExpired(now)
  }

  private sendToMembers (now: Instant): void {
    const { self } = this.options
    const addresses = this.ranking.listMembers(self.domain).filter(({ name }) => name !== self.name).map(({ exchangeAddress }) => exchangeAddress!)
    const isWanted = (row: ExchangeRow): boolean => this.isWantedIn(self.domain, row, now)
    if (addresses.length > 0) this.sender.send({ name: MEMBERS, hop: ExchangeHop.ToMembers, addresses, datagramsPerRound: addresses.length, intervalMs: SENDING_INTERVAL_MS, origins: RELAYED, isWanted }, now)
  }

  private sendToOtherDomains (now: Instant): void {
    const { self, regionByDomain } = this.options
    const ownRegion = regionByDomain.get(self.domain)
    const domains = this.ranking.listDomains().filter((domain) => domain !== self.domain)
    const nearCount = domains.filter((domain) => regionByDomain.get(domain) === ownRegion).length
    for (const domain of domains) {
      const isNear = regionByDomain.get(domain) === ownRegion
      const addresses = this.listRelayAddresses(domain, now)
      const datagramsPerRound = addresses.length * (isNear ? nearCount : domains.length - nearCount)
      const isWanted = (row: ExchangeRow): boolean => this.isWantedIn(domain, row, now)
      this.sender.send({ name: formatDomainName(domain), hop: ExchangeHop.BetweenDomains, addresses, datagramsPerRound, intervalMs: isNear ? SENDING_INTERVAL_MS : FAR_INTERVAL_MS, origins: OWN_DOMAIN, isWanted }, now)
    }
  }

  /** This VM's counterpart, and the relays that send to this VM: these take it for silent if it doesn't reply. */
  private listRelayAddresses (domain: string, now: Instant): string[] {
    const counterpart = this.ranking.chooseCounterpart(domain, this.options.self.domain, now)
    const chosen = counterpart === undefined ? [] : [counterpart]
    const sending = this.ranking.listMembers(domain).filter(({ name }) => now - (this.heardAt.get(name) ?? Number.NEGATIVE_INFINITY) <= RELAY_LEASE_MS)
    return [...new Set([...chosen, ...sending].map(({ exchangeAddress }) => exchangeAddress!))]
  }

  private isWantedIn (domain: string, row: ExchangeRow, now: Instant): boolean {
    const scope = SCOPE_BY_TOPIC[row.topic]
    if (scope === ExchangeScope.DomainRelays) return false
    return scope === ExchangeScope.Fleet || this.interest.isWantedIn(domain, row.key, this.options.findSubjectDomain(row), now)
  }

  private updateAggregates (now: Instant): void {
    if (now < this.nextAggregationAt) return
    this.nextAggregationAt = now + AGGREGATION_INTERVAL_MS
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
    this.readNodes()
    const message = parseDatagram(datagram)
    const sender = message === undefined ? undefined : this.nodesByName.get(message.from)
    const isKnown = sender?.exchangeAddress !== undefined && splitAddress(sender.exchangeAddress).host === host
    if (message === undefined || !isKnown || !this.isExpected(message, sender)) {
      this.discardedCount++
      return
    }
    this.recordSender(message)
    // The ages of rows that waited in the socket are unknown, but their sender is running.
    if (this.options.isLate()) this.discardedCount++
    else this.handleMessage(message, sender)
  }

  /** Rows of VMs of another failure domain come by way of its relays only. */
  private isExpected ({ hop }: ExchangeMessage, { domain }: EntryNode): boolean {
    return (domain === this.options.self.domain) === (hop !== ExchangeHop.BetweenDomains)
  }

  private recordSender ({ from, hop }: ExchangeMessage): void {
    const now = this.options.clock.now()
    if (hop !== ExchangeHop.ToRelay) this.ranking.recordMessage(from, now)
    if (hop !== ExchangeHop.ToMembers) this.renewRelayLease(now)
    if (hop === ExchangeHop.BetweenDomains) this.heardAt.set(from, now)
  }

  private handleMessage ({ hop, rows }: ExchangeMessage, { domain }: EntryNode): void {
    const { clock, roundTrips } = this.options
    const now = clock.now()
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

function formatRelayName (relay: string): string {
  return `relay ${relay}`
}

function formatDomainName (domain: string): string {
  return `domain ${domain}`
}
