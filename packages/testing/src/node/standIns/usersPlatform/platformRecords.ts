/**
 * The records in the store of the users' platform, in the format in which the operator and
 * the workers write them, and the settings that the platform passes to an entry process.
 */
import { LogLevel } from '@umberspar/base/common/logger'
import type { EntrySettings } from '@umberspar/entry/common/entrySettings'
import { RecordStoreStandIn } from './recordStoreStandIn.js'

/** One path of the operator's configuration; omitted fields are as in `PATH_DEFAULTS`. */
export interface PathInput {
  readonly Name: string
  readonly Prefix: string
  readonly Kind?: string
  readonly Service?: string
  readonly Split?: ReadonlyArray<{ readonly Service: string, readonly Weight: number }>
  readonly Timeout?: string
  readonly Goal?: string
  readonly Attempts?: number
  readonly Sticky?: boolean
  readonly HomeRegions?: readonly string[]
  readonly NoAuth?: boolean
  readonly Priority?: number
}

/** One client account of the operator's configuration; omitted fields are as in `ACCOUNT_DEFAULTS`. */
export interface AccountInput {
  readonly Name: string
  readonly ApiKeys: readonly string[]
  /** Null if the routes' priorities count. */
  readonly Priority?: number | null
  readonly RatePerS?: number
  readonly Burst?: number
  readonly HomeRegions?: readonly string[]
}

/** The limits of callers in the operator's configuration. */
export interface CallerLimits {
  readonly MaxHeaderBytes: number
  readonly MaxBodyBytes: number
  readonly HeaderTimeout: string
  readonly IdleTimeout: string
}

/** A worker's registration. */
export interface WorkerRecord {
  readonly id: string
  readonly service: string
  readonly domain: string
  readonly address: string
  readonly isLeaving?: boolean
  /** The remaining cold start that it reports, in milliseconds. */
  readonly coldMs?: number
  /** When it started, in milliseconds of Unix time; omitted by workers whose ids are never reused. */
  readonly startedAt?: number
}

/** The addresses of an entry process. */
export interface EntryAddresses {
  readonly callers: string
  readonly questions: string
  readonly metrics: string
  readonly store: string
}

/** The longest time for which the operator wants a request kept waiting, unless its path says otherwise. */
export const ROUTE_TIMEOUT_MS = 2_000
const PATH_DEFAULTS = { Kind: 'idempotent', Timeout: `${ROUTE_TIMEOUT_MS}ms`, Goal: '500ms', Priority: 1, Attempts: 2, Sticky: true, HomeRegions: [] }
const ACCOUNT_DEFAULTS = { Priority: 1, RatePerS: 0, Burst: 0, HomeRegions: [] }
/** The host of all routes of the stand-in. */
export const PLATFORM_HOST = 'shop.example'
const DEFAULT_LIMITS: CallerLimits = { MaxHeaderBytes: 16_384, MaxBodyBytes: 1_000_000, HeaderTimeout: '3000ms', IdleTimeout: '15000ms' }
const SLOTS = 4
/** The retry budget in the settings of all entry processes. */
export const RETRY_BUDGET = { ratio: 0.2, windowMs: 10_000, slack: 60 }

/**
 * @param prefix of the request targets, with slashes at both ends
 * @param service that serves it
 * @param homes the regions that alone may serve it; empty if all may
 * @returns a path whose requests have no affinity to a worker
 */
export function createPath (prefix: string, service: string, homes: readonly string[]): PathInput {
  return { Name: prefix.replaceAll('/', '-'), Prefix: prefix, Service: service, HomeRegions: homes, Sticky: false }
}

/** The store and its records. */
export class PlatformRecords {
  readonly store = new RecordStoreStandIn()
  private readonly services = new Set<string>()
  private version = 0
  /** How often each worker has written its registration. */
  private readonly sequences = new Map<string, number>()
  /** The client accounts of later configurations; undefined if callers need no keys. */
  accounts: readonly AccountInput[] | undefined
  /** The limits of callers in later configurations. */
  callerLimits = DEFAULT_LIMITS

  /** @param regions failure domains with their regions */
  constructor (readonly regions: Readonly<Record<string, string>>) {}

  /** @returns the version of the newest configuration */
  get newestVersion (): number {
    return this.version
  }

  /** Writes a worker's registration. */
  putWorker ({ id, service, domain, address, isLeaving = false, coldMs = 0, startedAt }: WorkerRecord): void {
    this.services.add(service)
    const sequence = (this.sequences.get(id) ?? 0) + 1
    this.sequences.set(id, sequence)
    this.store.put(`servers/${id}`, { Service: service, Addr: address, Zone: domain, Version: 'v1', Slots: SLOTS, State: isLeaving ? 'draining' : 'ready', ColdLeft: `${coldMs}ms`, Seq: sequence, born: startedAt })
  }

  /** Removes a worker's registration. */
  removeWorker (id: string): void {
    this.store.remove(`servers/${id}`)
  }

  /** Enters an entry VM among the members of the fleet, as it would after some time. */
  putMember (node: string, domain: string): void {
    this.store.put(`entry-members/${node}`, { domain })
  }

  /** Evacuates a failure domain. */
  putEvacuation (domain: string): void {
    this.store.put(`op/evacuate/${domain}`, {})
  }

  /** Ends the evacuation of a failure domain. */
  removeEvacuation (domain: string): void {
    this.store.remove(`op/evacuate/${domain}`)
  }

  /**
   * Writes the operator's next configuration.
   * @param accounts from now on; left out if they stay as they are
   * @returns its version
   */
  putConfiguration (paths: readonly PathInput[], coldPerSecond = 7, accounts = this.accounts): number {
    this.accounts = accounts
    this.version += 3
    this.store.put('op/config', {
      Version: `r${this.version}`,
      Services: [...this.services].map((Name) => ({ Name, HealthPath: '/healthz', MaxConns: 100, Proto: 'h1', Tls: false, Cold: '3s', ColdPerS: coldPerSecond })),
      Limits: this.callerLimits,
      ...(accounts === undefined ? {} : { Tenants: accounts.map((account) => ({ ...ACCOUNT_DEFAULTS, ...account })) }),
      Hosts: [{ Host: PLATFORM_HOST, Paths: paths.map((path) => ({ ...PATH_DEFAULTS, ...path })) }]
    })
    return this.version
  }

  /** @returns the settings of an entry process */
  createSettings (node: string, domain: string, addresses: EntryAddresses, seeds: readonly string[] = []): EntrySettings {
    const { callers, questions, metrics, store } = addresses
    return {
      node,
      domain,
      regions: { ...this.regions },
      listen: { callers, readiness: questions, lookups: questions, peers: questions, metrics, exchange: questions },
      store: { address: store },
      seeds: [...seeds],
      grace: 4_000,
      changeLimits: [2_000],
      goneWithin: 3_000,
      maxLinkSilence: 3_000,
      longestLookupCache: 5_000,
      coldTolerance: { factor: 1.5, slack: 5 },
      rateTolerance: { factor: 1, slack: 0 },
      repeatBudget: { ratio: RETRY_BUDGET.ratio, window: RETRY_BUDGET.windowMs, slack: RETRY_BUDGET.slack },
      revokeWithin: 3_000,
      quotaTolerance: { window: 5_000, over: 0.1, slack: 20 },
      quarantineSpan: 600_000,
      memoryMb: 350,
      maxDescriptors: 4_096,
      byteCosts: { otherDomain: 0.004, otherRegion: 0.013 },
      logLevel: LogLevel.Info
    }
  }
}
