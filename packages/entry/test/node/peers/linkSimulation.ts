/**
 * Simulates the entry VMs of one region that publish records to each other over links of a
 * few megabits per second. Plan, publishers and tables are those of the product; links and
 * time are simulated. A VM's link sends one chunk of each connection in turn.
 */
import { EventEmitter } from 'node:events'
import type { ServerResponse } from 'node:http'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { planReplication } from '@umberspar/steering/common/entry/replicationPlan'
import { type EntryNode, RecordKind, type SteeringRecord } from '@umberspar/steering/common/entry/records'
import { RecordReplica } from '@umberspar/steering/common/entry/recordReplica'
import type { SteeringDocument } from '@umberspar/steering/common/entry/steeringDocument'
import { parseRecordLine } from '../../../src/common/recordLines.js'
import { decodeLine } from '../../../src/node/peers/compressedLine.js'
import { RecordPublisher } from '../../../src/node/peers/recordPublisher.js'

/** What a link sends of one connection before it continues with the next one. */
const CHUNK_BYTES = 4_096
const BITS_PER_BYTE = 8
const BITS_PER_MS_PER_MBPS = 1_000
/** A socket with more buffered bytes asks its writer to wait. */
const SOCKET_BUFFER_BYTES = 16_384
const SOURCES_PER_VM = 2
const REGION_OF = new Map([['a-1', 'a'], ['a-2', 'a']])

/** One VM's link, in one direction. */
class Link {
  private busyUntil = 0

  constructor (private readonly clock: ManualClock, private readonly mbps: number) {}

  /** @returns the instant at which the link has transferred the given number of further bytes */
  reserve (bytes: number): number {
    this.busyUntil = Math.max(this.busyUntil, this.clock.now()) + bytes * BITS_PER_BYTE / (this.mbps * BITS_PER_MS_PER_MBPS)
    return this.busyUntil
  }
}

interface QueuedLine {
  readonly text: string
  remainingBytes: number
}

/** The sending side of a connection to another VM. */
class LinkResponse extends EventEmitter {
  readonly queue: QueuedLine[] = []
  private needsDrainEvent = false

  constructor (private readonly sender: LinkVm, readonly receiver: LinkVm) {
    super()
  }

  get writableLength (): number {
    return this.queue.reduce((sum, { remainingBytes }) => sum + remainingBytes, 0)
  }

  writeHead (): void {}

  write (text: string): boolean {
    this.queue.push({ text, remainingBytes: Buffer.byteLength(text) })
    this.sender.startSending()
    this.needsDrainEvent ||= this.writableLength >= SOCKET_BUFFER_BYTES
    return !this.needsDrainEvent
  }

  end (): void {}

  destroy (): void {
    this.queue.length = 0
  }

  /** Takes the next chunk from the queue. @returns its size, and the text of the line that it completes, if any */
  takeChunk (): { readonly bytes: number, readonly text: string | undefined } {
    const line = this.queue[0]!
    const bytes = Math.min(CHUNK_BYTES, line.remainingBytes)
    line.remainingBytes -= bytes
    if (line.remainingBytes > 0) return { bytes, text: undefined }
    this.queue.shift()
    return { bytes, text: line.text }
  }

  deliver (text: string | undefined): void {
    if (text !== undefined) this.receiver.handleLine(text)
    if (!this.needsDrainEvent || this.writableLength > 0) return
    this.needsDrainEvent = false
    this.emit('drain')
  }
}

/** One entry VM. */
class LinkVm {
  readonly table = new RecordReplica()
  readonly publisher: RecordPublisher
  readonly up: Link
  readonly down: Link
  private readonly responses: LinkResponse[] = []
  private isSending = false
  sentBytes = 0

  constructor (readonly node: EntryNode, private readonly clock: ManualClock, mbps: number) {
    this.up = new Link(clock, mbps)
    this.down = new Link(clock, mbps)
    const { table } = this
    this.publisher = new RecordPublisher(clock, {
      get position () { return table.position },
      hasUnconfirmed: false,
      via: [node.name],
      holdMs: 0,
      proofAgeMs: undefined,
      configurationVersion: undefined,
      readUpdateAfter: (position) => table.buildUpdateAfter(position)
    }, { countSentRecordBytes: (bytes) => { this.sentBytes += bytes }, logLargeRecordUpdate: () => {} })
  }

  /** @returns the configuration that the VM uses */
  get document (): SteeringDocument | undefined {
    const record = this.table.list().find(({ kind }) => kind === RecordKind.Document)
    return record?.kind === RecordKind.Document ? record.value : undefined
  }

  /** @returns the version of the configuration; 0 before there is one */
  get version (): number {
    return this.document?.version ?? 0
  }

  addSubscriber (subscriber: LinkVm): void {
    const response = new LinkResponse(this, subscriber)
    this.responses.push(response)
    this.publisher.accept(new URLSearchParams(`era=${subscriber.table.position.era}&after=${subscriber.table.revision}`), response as unknown as ServerResponse)
  }

  handleLine (text: string): void {
    const { news } = parseRecordLine(decodeLine(text, this.node.name).unwrap(), this.node.name).unwrap()
    if (news === undefined) return
    if (this.table.applyUpdate(news, this.clock.now()) === undefined) throw new Error(`${this.node.name} cannot apply the update`)
    this.publisher.publish()
  }

  startSending (): void {
    if (this.isSending) return
    const response = this.responses.find(({ queue }) => queue.length > 0)
    if (response === undefined) return
    // Moves this connection to the end, so that the others have their turn first.
    this.responses.push(...this.responses.splice(this.responses.indexOf(response), 1))
    this.isSending = true
    const { bytes, text } = response.takeChunk()
    this.clock.schedule(this.up.reserve(bytes), () => {
      this.isSending = false
      this.clock.schedule(response.receiver.down.reserve(bytes), () => { response.deliver(text) })
      this.startSending()
    })
  }
}

/** The VMs of one region in two failure domains. */
export class LinkSimulation {
  readonly clock = new ManualClock()
  readonly vms: LinkVm[]
  private revision = 1

  /**
   * @param vmsPerDomain number of VMs in each failure domain
   * @param readMbps gets the capacity of a VM's link in each direction, in megabits per second, by the VM's index in its domain
   * @param records the initial records of all VMs
   */
  constructor (vmsPerDomain: number, readMbps: (index: number) => number, records: readonly SteeringRecord[]) {
    const nodes = [...REGION_OF.keys()].flatMap((domain) => Array.from({ length: vmsPerDomain }, (_, index): EntryNode => {
      const name = `vm-${domain}-${index}`
      return { name, address: name, peerAddress: name, domain, linkMbps: readMbps(index) }
    }))
    this.revision = Math.max(1, ...records.map(({ revision }) => revision))
    this.vms = nodes.map((node) => new LinkVm(node, this.clock, node.linkMbps!))
    for (const { table } of this.vms) table.applySnapshot({ era: 1, revision: this.revision, records }, 0)
    for (const vm of this.vms) {
      const { isFollower, sources } = planReplication(nodes, vm.node, REGION_OF)
      if (isFollower) continue
      for (const source of sources.slice(0, SOURCES_PER_VM)) this.findVm(source.name).addSubscriber(vm)
    }
  }

  /** Delivers a change to the VMs that watch the store. */
  write (createRecord: (revision: number) => SteeringRecord): void {
    const record = createRecord(++this.revision)
    const nodes = this.vms.map(({ node }) => node)
    for (const vm of this.vms) {
      if (!planReplication(nodes, vm.node, REGION_OF).isFollower) continue
      vm.table.applyChanges({ era: 1, revision: this.revision, written: [record], removed: [] }, this.clock.now())
      vm.publisher.publish()
    }
  }

  /**
   * @param isKnown tells whether a VM has the expected records
   * @param timeoutMs how long to wait, in milliseconds
   * @returns the time until all VMs have them, in milliseconds; Infinity after the timeout
   */
  async measureUntil (isKnown: (vm: LinkVm) => boolean, timeoutMs: number): Promise<number> {
    const startedAt = this.clock.now()
    while (this.clock.now() - startedAt < timeoutMs) {
      if (this.vms.every(isKnown)) return this.clock.now() - startedAt
      await this.clock.runFor(10)
    }
    return this.vms.every(isKnown) ? timeoutMs : Infinity
  }

  private findVm (name: string): LinkVm {
    return this.vms.find(({ node }) => node.name === name)!
  }
}
