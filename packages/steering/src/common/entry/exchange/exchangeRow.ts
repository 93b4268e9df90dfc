/**
 * Rows that entry VMs exchange about load; the newest one of a key counts. A row is advisory:
 * each VM decides about its own requests only, and without rows it decides by what it observed itself.
 */
import type { Instant } from '@umberspar/base/common/clock'

/** What a row is about. The values are sent to other VMs. */
export enum ExchangeTopic {
  /** The load of one worker; the key is the worker's id. Any VM that got a response from the worker writes it. */
  WorkerLoad = 'load',
  /** What arrives at one VM, by service; the key is the VM's name. */
  VmDemand = 'vm-demand',
  /** What arrives in one failure domain, by service; the key is the domain. Relays compute it from the rows of their VMs. */
  DomainDemand = 'demand',
  /** What the client accounts with the most requests use at one VM; the key is the VM's name. */
  VmUsage = 'vm-usage',
  /** The same for one failure domain; the key is the domain. Relays compute it from the rows of their VMs. */
  DomainUsage = 'usage',
  /** The services whose workers one VM can't reach; the key is the VM's name. */
  LostServices = 'lost'
}

/** Which VMs receive the rows of a topic. */
export enum ExchangeScope {
  /** The relays of the writer's failure domain. */
  DomainRelays = 'domain-relays',
  /** All VMs. */
  Fleet = 'fleet',
  /** VMs of the region where the subject is, and of failure domains that wrote rows about it lately. */
  Users = 'users'
}

/** The scope of each topic. */
export const SCOPE_BY_TOPIC: Readonly<Record<ExchangeTopic, ExchangeScope>> = {
  [ExchangeTopic.WorkerLoad]: ExchangeScope.Users,
  [ExchangeTopic.VmDemand]: ExchangeScope.DomainRelays,
  [ExchangeTopic.DomainDemand]: ExchangeScope.Fleet,
  [ExchangeTopic.VmUsage]: ExchangeScope.DomainRelays,
  [ExchangeTopic.DomainUsage]: ExchangeScope.Fleet,
  [ExchangeTopic.LostServices]: ExchangeScope.Fleet
}

/** JSON that a topic defines; the part that owns the topic validates what it receives. */
export type ExchangeContent = number | string | readonly ExchangeContent[] | { readonly [name: string]: ExchangeContent }

/** One row. */
export interface ExchangeRow {
  readonly topic: ExchangeTopic
  /** What the row is about; see {@link ExchangeTopic}. */
  readonly key: string
  readonly content: ExchangeContent
  /** When the content was true, on this VM's clock. Rows of other VMs carry their age; the time on the way is estimated. */
  readonly at: Instant
}

/** Receives a row that is newer than the one known before. */
export type ExchangeListener = (row: ExchangeRow) => void

/** Computes a failure domain's row from those of its VMs, at a relay. */
export interface DomainAggregation {
  readonly from: ExchangeTopic
  readonly to: ExchangeTopic
  /**
   * @param rows the newest row of each VM of the domain that is registered
   * @param now the current time
   * @returns the domain's content; undefined if there is none to tell
   */
  compute(rows: Iterable<ExchangeRow>, now: Instant): ExchangeContent | undefined
}

/** The exchange as the parts that use it see it. */
export interface IFleetExchange {
  /**
   * Sends a row to other VMs with the next message. A row replaces the one of the same topic and key.
   * @param row what this VM states itself
   */
  publish(row: ExchangeRow): void
  /**
   * @param topic a topic
   * @returns the newest known rows, this VM's included; a row is kept for {@link ROW_LIFETIME_MS}
   */
  listRows(topic: ExchangeTopic): Iterable<ExchangeRow>
  /**
   * @param topic a topic
   * @param listener called for each row of another VM that is newer than the one known
   */
  onDidReceive(topic: ExchangeTopic, listener: ExchangeListener): void
  /** @param aggregation computed at relays before each message to other failure domains */
  addAggregation(aggregation: DomainAggregation): void
}

/** Rows that were not renewed for this long are removed. Each topic's owner decides earlier which rows still count. */
export const ROW_LIFETIME_MS = 30_000
