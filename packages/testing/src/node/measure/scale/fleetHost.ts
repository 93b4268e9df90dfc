/** One process with some of a fleet's daemons: real daemons on loopback, told over the channel what to do. */
import { LogLevel } from '@umberspar/base/common/logger'
import type { ILogger, LogContext } from '@umberspar/base/common/logger'
import { SeededRandom } from '@umberspar/base/common/random'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { createDaemon } from '@umberspar/daemon/node/daemon'
import type { Daemon } from '@umberspar/daemon/node/daemon'
import type { DaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import { waitUntil } from '../../waiting.js'
import { measureHeapBytes } from './heap.js'
import { SocketBytes } from './socketBytes.js'
import type { ByteCount } from './socketBytes.js'

/** What the host does on an order. */
export enum HostOrderKind {
  Start = 'start',
  Measure = 'measure',
  /** As `Measure`, but without collecting garbage, which would hold up the daemons. */
  Observe = 'observe',
  Stop = 'stop'
}

/** An order to a host. */
export interface HostOrder {
  readonly kind: HostOrderKind
  /** For `Start`: the daemons, and the span between two starts in milliseconds. */
  readonly settings?: readonly DaemonSettings[]
  readonly staggerMs?: number
  readonly seed?: number
}

/** A configuration that a daemon put in force. */
export interface Adoption {
  readonly nodeId: string
  readonly version: number
  /** Whom it came from, as the daemon logged it. */
  readonly peer: string
  readonly atWallMs: number
}

/** A host's answer to every order. */
export interface HostFigures {
  readonly daemons: number
  readonly ready: number
  readonly cpuSeconds: number
  readonly heapBytes: number
  readonly residentBytes: number
  /** With the platform: store and VM list. */
  readonly platform: ByteCount
  readonly storeBytes: ByteCount
  /** With other daemons, either end. */
  readonly peers: ByteCount
  readonly adoptions: readonly Adoption[]
}

const ADOPT_STEP = 'adopt-configuration'
const MICROSECONDS = 1e6

const clock = new SystemClock()
const bytes = new SocketBytes()

/** Keeps adoptions and drops every other line. */
class AdoptionLogger implements ILogger {
  constructor (private readonly adoptions: Adoption[], private readonly nodeId = '') {}

  log (level: LogLevel, context: LogContext): void {
    if (context.step !== ADOPT_STEP || level !== LogLevel.Info) return
    this.adoptions.push({ nodeId: this.nodeId, version: Number(context['version']), peer: context.peer ?? '', atWallMs: clock.getWallTime() })
  }

  createChild (fields: Readonly<Record<string, unknown>>): ILogger {
    return new AdoptionLogger(this.adoptions, String(fields['node'] ?? this.nodeId))
  }
}

class FleetHost {
  private readonly daemons: Daemon[] = []
  private readonly adoptions: Adoption[] = []
  private readonly peerAddresses = new Set<string>()
  private platformAddress = ''
  private storeAddress = ''

  async start ({ settings = [], staggerMs = 0, seed = 0 }: HostOrder): Promise<void> {
    this.platformAddress = new URL(settings[0]?.vmList.url ?? 'http://none').host
    this.storeAddress = settings[0]?.store.endpoints[0] ?? ''
    for (const [index, each] of settings.entries()) {
      this.peerAddresses.add(each.peers.address)
      const daemon = createDaemon(each, { logger: new AdoptionLogger(this.adoptions), clock, random: new SeededRandom(seed + index) })
      this.daemons.push(daemon)
      const started = await daemon.start()
      if (!started.ok) throw started.val
      await waitUntil(clock, clock.now() + staggerMs)
    }
  }

  measure (isCollected: boolean): HostFigures {
    const { user, system } = process.cpuUsage()
    const isPlatform = (listener: string): boolean => listener === this.platformAddress || listener === this.storeAddress
    return {
      daemons: this.daemons.length,
      ready: this.daemons.filter((daemon) => daemon.isReady()).length,
      cpuSeconds: (user + system) / MICROSECONDS,
      heapBytes: isCollected ? measureHeapBytes() : process.memoryUsage().heapUsed,
      residentBytes: process.memoryUsage.rss(),
      platform: bytes.count(isPlatform),
      storeBytes: bytes.count((listener) => listener === this.storeAddress),
      peers: bytes.count((listener) => listener.startsWith('127.3') && !isPlatform(listener)),
      adoptions: this.adoptions.splice(0)
    }
  }

  async stop (): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.close()))
    this.daemons.length = 0
  }
}

const host = new FleetHost()

const ORDERS: Readonly<Record<HostOrderKind, (order: HostOrder) => Promise<void>>> = {
  [HostOrderKind.Start]: (order) => host.start(order),
  [HostOrderKind.Measure]: async () => {},
  [HostOrderKind.Observe]: async () => {},
  [HostOrderKind.Stop]: () => host.stop()
}

/** Serves orders until the channel closes. */
function main (): void {
  process.on('message', async (order: HostOrder) => {
    await ORDERS[order.kind](order)
    process.send?.(host.measure(order.kind === HostOrderKind.Measure))
  })
  process.on('disconnect', () => process.exit(0))
}

if (process.send !== undefined && process.argv[1] === new URL(import.meta.url).pathname) main()
