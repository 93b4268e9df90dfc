/**
 * Entry VMs of one region that tell each other of the records over links of a few
 * megabits a second, in simulated time: the real plan, tellers and tables, and a
 * model of the links. A VM's link carries its connections by turns, a piece each.
 */
import { EventEmitter } from 'node:events'
import type { ServerResponse } from 'node:http'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { planFollowing } from '@umberspar/steering/common/entry/followPlan'
import { type EntryNode, RecordKind, type SteeringRecord } from '@umberspar/steering/common/entry/records'
import { RecordTable } from '@umberspar/steering/common/entry/recordTable'
import type { SteeringDocument } from '@umberspar/steering/common/entry/steeringDocument'
import { parseRecordLine } from '../../../src/common/recordLines.js'
import { decodeLine } from '../../../src/node/peers/packedLine.js'
import { RecordTeller } from '../../../src/node/peers/recordTeller.js'

/** What a link carries at once of one connection, in bytes. */
const PIECE_BYTES = 4_096
const BITS_PER_BYTE = 8
const BITS_PER_MS_AND_MBPS = 1_000
/** What a socket takes before its writer is told to wait, in bytes. */
const SOCKET_BYTES = 16_384
const HEARD_SOURCES = 2
const REGION_OF = new Map([['a-1', 'a'], ['a-2', 'a']])

/** One VM's link, in one direction. */
class Link {
  private busyUntil = 0

  constructor (private readonly clock: ManualClock, private readonly mbps: number) {}

  /** @returns when the link has carried so many bytes more */
  reserve (bytes: number): number {
    this.busyUntil = Math.max(this.busyUntil, this.clock.now()) + bytes * BITS_PER_BYTE / (this.mbps * BITS_PER_MS_AND_MBPS)
    return this.busyUntil
  }
}

interface QueuedLine {
  readonly text: string
  left: number
}

/** The sending side of a connection to another VM. */
class LinkAnswer extends EventEmitter {
  readonly queue: QueuedLine[] = []
  private mustTellDrain = false

  constructor (private readonly sender: LinkVm, readonly receiver: LinkVm) {
    super()
  }

  get writableLength (): number {
    return this.queue.reduce((sum, { left }) => sum + left, 0)
  }

  writeHead (): void {}

  write (text: string): boolean {
    this.queue.push({ text, left: Buffer.byteLength(text) })
    this.sender.startSending()
    this.mustTellDrain ||= this.writableLength >= SOCKET_BYTES
    return !this.mustTellDrain
  }

  end (): void {}

  destroy (): void {
    this.queue.length = 0
  }

  /** Takes a piece off what waits. @returns its bytes, and the line that it ends, if it ends one */
  takePiece (): { readonly bytes: number, readonly text: string | undefined } {
    const line = this.queue[0]!
    const bytes = Math.min(PIECE_BYTES, line.left)
    line.left -= bytes
    if (line.left > 0) return { bytes, text: undefined }
    this.queue.shift()
    return { bytes, text: line.text }
  }

  deliver (text: string | undefined): void {
    if (text !== undefined) this.receiver.handleLine(text)
    if (!this.mustTellDrain || this.writableLength > 0) return
    this.mustTellDrain = false
    this.emit('drain')
  }
}

/** One entry VM. */
class LinkVm {
  readonly table = new RecordTable()
  readonly teller: RecordTeller
  readonly up: Link
  readonly down: Link
  private readonly answers: LinkAnswer[] = []
  private isSending = false
  /** Bytes sent to other VMs. */
  sentBytes = 0

  constructor (readonly node: EntryNode, private readonly clock: ManualClock, mbps: number) {
    this.up = new Link(clock, mbps)
    this.down = new Link(clock, mbps)
    const { table } = this
    this.teller = new RecordTeller(clock, {
      get revision () { return table.revision },
      via: [node.name],
      holdMs: 0,
      proofAgeMs: undefined,
      readNewsAfter: (revision) => table.readNewsAfter(revision)
    }, { countTold: (bytes) => { this.sentBytes += bytes }, logLongLine: () => {} })
  }

  /** @returns the configuration that it decides by */
  get document (): SteeringDocument | undefined {
    const record = this.table.list().find(({ kind }) => kind === RecordKind.Document)
    return record?.kind === RecordKind.Document ? record.value : undefined
  }

  /** @returns its version; 0 before there is one */
  get version (): number {
    return this.document?.version ?? 0
  }

  /** Tells another VM from now on. */
  addListener (other: LinkVm): void {
    const answer = new LinkAnswer(this, other)
    this.answers.push(answer)
    this.teller.accept(new URLSearchParams(`after=${other.table.revision}`), answer as unknown as ServerResponse)
  }

  handleLine (text: string): void {
    const { news } = parseRecordLine(decodeLine(text, this.node.name).unwrap(), this.node.name).unwrap()
    if (news === undefined) return
    if (this.table.applyNews(news, this.clock.now()) === undefined) throw new Error(`${this.node.name} cannot take what it was told`)
    this.teller.publish()
  }

  startSending (): void {
    if (this.isSending) return
    const answer = this.answers.find(({ queue }) => queue.length > 0)
    if (answer === undefined) return
    // The next one in turn is looked at first.
    this.answers.push(...this.answers.splice(this.answers.indexOf(answer), 1))
    this.isSending = true
    const { bytes, text } = answer.takePiece()
    this.clock.schedule(this.up.reserve(bytes), () => {
      this.isSending = false
      this.clock.schedule(answer.receiver.down.reserve(bytes), () => { answer.deliver(text) })
      this.startSending()
    })
  }
}

/** The VMs of one region in two failure domains. */
export class LinkWorld {
  readonly clock = new ManualClock()
  readonly vms: LinkVm[]
  private revision = 1

  /**
   * @param perDomain VMs in each failure domain
   * @param readMbps what the link of a domain's VM carries each way, in megabits a second, by its number
   * @param records what all know at the beginning
   */
  constructor (perDomain: number, readMbps: (index: number) => number, records: readonly SteeringRecord[]) {
    const nodes = [...REGION_OF.keys()].flatMap((domain) => Array.from({ length: perDomain }, (_, index): EntryNode => {
      const name = `vm-${domain}-${index}`
      return { name, address: name, peerAddress: name, domain, linkMbps: readMbps(index) }
    }))
    this.revision = Math.max(1, ...records.map(({ revision }) => revision))
    this.vms = nodes.map((node) => new LinkVm(node, this.clock, node.linkMbps!))
    for (const { table } of this.vms) table.applySnapshot({ revision: this.revision, records }, 0)
    for (const vm of this.vms) {
      const { isFollower, sources } = planFollowing(nodes, vm.node, REGION_OF)
      if (isFollower) continue
      for (const source of sources.slice(0, HEARD_SOURCES)) this.read(source.name).addListener(vm)
    }
  }

  /** Lets the VMs that watch the store hear of a change. */
  write (createRecord: (revision: number) => SteeringRecord): void {
    const record = createRecord(++this.revision)
    const nodes = this.vms.map(({ node }) => node)
    for (const vm of this.vms) {
      if (!planFollowing(nodes, vm.node, REGION_OF).isFollower) continue
      vm.table.applyChanges({ revision: this.revision, written: [record], removed: [] }, this.clock.now())
      vm.teller.publish()
    }
  }

  /**
   * @param isKnown what each VM is to know
   * @param mostMs how long it may take
   * @returns after how long all know it, in milliseconds; Infinity if it takes longer
   */
  async measureUntil (isKnown: (vm: LinkVm) => boolean, mostMs: number): Promise<number> {
    const startedAt = this.clock.now()
    while (this.clock.now() - startedAt < mostMs) {
      if (this.vms.every(isKnown)) return this.clock.now() - startedAt
      await this.clock.runFor(10)
    }
    return this.vms.every(isKnown) ? mostMs : Infinity
  }

  private read (name: string): LinkVm {
    return this.vms.find(({ node }) => node.name === name)!
  }
}
