/**
 * Chooses the entry VMs by way of which rows reach the VMs of a failure domain: the first two by rank
 * that respond. VMs that differ in their view of who responds use other relays, which is harmless: a
 * VM relays whatever it receives from its own failure domain.
 */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { rankMembers } from '../replicationPlan.js'
import { computePaceMs } from './relayPace.js'
import type { EntryNode } from '../records.js'

/** If one of them fails or is cut off, the other has sent the same rows. */
const RELAYS_PER_DOMAIN = 2
/** A relay that sends nothing for this long while it is used is replaced, */
const MIN_SILENCE_MS = 1_200
/** and for this many of its intervals in a large fleet. */
const SILENT_INTERVALS = 2.4
/** A silent VM isn't used again before this time has passed, unless no other is left. */
const RETRY_MS = 5_000

interface RelayState {
  /** When rows were last sent to it. */
  usedAt: Instant
  /** When its last message arrived, or when it began to be used if that was later. */
  waitingSince: Instant
  silentUntil: Deadline
}

/** The relays that one VM uses. */
export class RelayRanking {
  private readonly states = new Map<string, RelayState>()
  private nodes: readonly EntryNode[] = []
  private domains: readonly string[] | undefined
  private readonly rankedByDomain = new Map<string, readonly EntryNode[]>()

  /** @param self this VM's name, which never counts as silent */
  constructor (private readonly self: string) {}

  /** @param nodes the registered VMs, this one included */
  setNodes (nodes: readonly EntryNode[]): void {
    this.nodes = nodes.filter(({ exchangeAddress }) => exchangeAddress !== undefined)
    this.rankedByDomain.clear()
    this.domains = undefined
    const names = new Set(nodes.map(({ name }) => name))
    for (const name of this.states.keys()) if (!names.has(name)) this.states.delete(name)
  }

  /** @returns the failure domains that have VMs which take part */
  listDomains (): readonly string[] {
    this.domains ??= [...new Set(this.nodes.map(({ domain }) => domain))]
    return this.domains
  }

  /**
   * @param domain a failure domain
   * @returns its VMs that take part, ranked
   */
  listMembers (domain: string): readonly EntryNode[] {
    let ranked = this.rankedByDomain.get(domain)
    if (ranked === undefined) {
      ranked = rankMembers(domain, this.nodes.filter((node) => node.domain === domain))
      this.rankedByDomain.set(domain, ranked)
    }
    return ranked
  }

  /**
   * Chooses the relays of a failure domain and notes that rows are sent to them from now on.
   * @param domain a failure domain
   * @param now the current time
   * @returns the relays; fewer than two if the domain has no more VMs
   */
  chooseRelays (domain: string, now: Instant): EntryNode[] {
    const relays = this.listRelays(domain, now)
    for (const { name } of relays) this.recordUse(this.getState(name), this.computeSilenceMs(domain), now)
    return relays
  }

  /**
   * Chooses the relay of another failure domain that this VM sends to. The relays of a domain use different ones, so that
   * each row goes to both.
   * @param domain the other failure domain
   * @param ownDomain this VM's failure domain
   * @param now the current time
   * @returns the relay; undefined if no VM of the domain takes part
   */
  chooseCounterpart (domain: string, ownDomain: string, now: Instant): EntryNode | undefined {
    const position = Math.max(0, this.listRelays(ownDomain, now).findIndex(({ name }) => name === this.self))
    const relays = this.listRelays(domain, now)
    const counterpart = relays[position % Math.max(1, relays.length)]
    if (counterpart !== undefined) this.recordUse(this.getState(counterpart.name), this.computeSilenceMs(domain), now)
    return counterpart
  }

  private listRelays (domain: string, now: Instant): EntryNode[] {
    const members = this.listMembers(domain)
    const silenceMs = this.computeSilenceMs(domain)
    const responding = members.filter(({ name }) => this.isUsable(name, silenceMs, now))
    return [...new Set([...responding, ...members])].slice(0, RELAYS_PER_DOMAIN)
  }

  /**
   * Records a message of another VM.
   * @param name the VM
   * @param now the current time
   */
  recordMessage (name: string, now: Instant): void {
    const state = this.getState(name)
    state.waitingSince = now
    state.silentUntil = Number.NEGATIVE_INFINITY
  }

  /** A relay sends to the VMs of its failure domain and to the other domains in turn. */
  private computeSilenceMs (domain: string): number {
    return Math.max(MIN_SILENCE_MS, SILENT_INTERVALS * computePaceMs(Math.max(this.listMembers(domain).length, RELAYS_PER_DOMAIN * this.listDomains().length)))
  }

  private recordUse (state: RelayState, silenceMs: number, now: Instant): void {
    if (now - state.usedAt > silenceMs) state.waitingSince = now
    state.usedAt = now
  }

  private isUsable (name: string, silenceMs: number, now: Instant): boolean {
    if (name === this.self) return true
    const state = this.getState(name)
    const isInUse = now - state.usedAt <= silenceMs
    if (isInUse && now - state.waitingSince > silenceMs) {
      state.silentUntil = createDeadline(now, RETRY_MS)
      state.waitingSince = now
    }
    return hasPassed(state.silentUntil, now)
  }

  private getState (name: string): RelayState {
    let state = this.states.get(name)
    if (state === undefined) {
      state = { usedAt: Number.NEGATIVE_INFINITY, waitingSince: Number.NEGATIVE_INFINITY, silentUntil: Number.NEGATIVE_INFINITY }
      this.states.set(name, state)
    }
    return state
  }
}
