/** `scale-fleet`: what a node spends on control, how soon a change is in force, and what the store is asked, against nodes and regions. */
import { randomUUID } from 'node:crypto'
import { createDeadline } from '@umberspar/base/common/deadline'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { waitUntil } from '../../waiting.js'
import { waitForCondition } from '../../load/polling.js'
import type { FigureRow, Measurement, MeasureOptions } from '../measurement.js'
import { printFigures } from '../measurement.js'
import { printLine } from '../../terminal.js'
import { Fleet } from './fleet.js'
import type { FleetSizes } from './fleet.js'
import type { Adoption, HostFigures } from './fleetHost.js'
import { computeMedian } from './leastSquares.js'
import { ScaleReport } from './scaleReport.js'

const NAME = 'scale-fleet'
const DAEMONS_PER_PROCESS = 25
const SETTLE_MS = 4000
const CHANGES = 5
const IN_FORCE_WITHIN_MS = 20_000
const POLL_MS = 200
const FIXED_REGIONS = 4
const FIXED_NODES = 48
const REGIONS = [2, 4, 8, 12]
const MS_PER_SECOND = 1000
const BYTES_PER_MB = 1_048_576
const BYTES_PER_KB = 1000

const clock = new SystemClock()

function countAll (figures: readonly HostFigures[], read: (figure: HostFigures) => number): number {
  return figures.reduce((sum, figure) => sum + read(figure), 0)
}

/** What an idle fleet spends; per node unless named otherwise. */
async function measureIdle (fleet: Fleet, nodes: number, spanSeconds: number): Promise<FigureRow> {
  await waitUntil(clock, clock.now() + SETTLE_MS)
  const before = await fleet.measure()
  const cpuBefore = await fleet.readCpuSeconds()
  const { platform } = fleet
  platform.store.clearCallCounts()
  const readsBefore = platform.vmList.countReads()
  const startedAt = clock.now()
  await waitUntil(clock, startedAt + spanSeconds * MS_PER_SECOND)
  const cpuSeconds = await fleet.readCpuSeconds() - cpuBefore
  const span = (clock.now() - startedAt) / MS_PER_SECOND
  const calls = platform.store.getCallCounts()
  const vmListReads = platform.vmList.countReads() - readsBefore
  const after = await fleet.measure()
  const readPerNode = (read: (figure: HostFigures) => number): number => (countAll(after, read) - countAll(before, read)) / nodes / span
  return {
    cpuPercent: cpuSeconds / span / nodes * 100,
    heapMb: countAll(after, ({ heapBytes }) => heapBytes) / nodes / BYTES_PER_MB,
    residentMb: countAll(after, ({ residentBytes }) => residentBytes) / nodes / BYTES_PER_MB,
    peersSentKb: readPerNode(({ peers }) => peers.sent) / BYTES_PER_KB,
    platformReceivedKb: readPerNode(({ platform: own }) => own.received) / BYTES_PER_KB,
    vmListReadsPerSecond: vmListReads / span,
    storeReadsPerSecond: calls.reads / span,
    storeWritesPerSecond: calls.writes / span,
    waitingWatches: calls.waitingWatches
  }
}

/** One change: how long until each node has it, from the operator's call on. */
interface ChangeFigures {
  readonly firstMs: number
  readonly medianMs: number
  readonly lastMs: number
  readonly fromStore: number
  readonly storeReads: number
  readonly storeWrites: number
  readonly adopted: number
}

async function measureChange (fleet: Fleet, nodes: number, number: number): Promise<ChangeFigures> {
  const operator = fleet.settings[0]?.operators.address ?? ''
  const baseVersion = await fleet.operators.readVersion(operator)
  await fleet.observe()
  fleet.platform.store.clearCallCounts()
  const startedAt = clock.getWallTime()
  const answer = await fleet.operators.patch(operator, { baseVersion, changeId: randomUUID(), patch: { lookupCacheMs: 2000 + number }, note: 'measure' })
  if (answer.version === undefined) throw new Error(`patch refused: ${answer.text}`)
  const adoptions: Adoption[] = []
  const isEverywhere = async (): Promise<boolean> => {
    adoptions.push(...(await fleet.observe()).flatMap((figures) => figures.adoptions).filter(({ version }) => version === answer.version))
    return adoptions.length >= nodes
  }
  await waitForCondition(clock, createDeadline(clock.now(), IN_FORCE_WITHIN_MS), POLL_MS, isEverywhere)
  const calls = fleet.platform.store.getCallCounts()
  const times = adoptions.map(({ atWallMs }) => atWallMs - startedAt)
  return {
    firstMs: Math.min(...times),
    medianMs: computeMedian(times),
    lastMs: Math.max(...times),
    fromStore: adoptions.filter(({ peer }) => peer === 'store').length,
    storeReads: calls.reads,
    storeWrites: calls.writes,
    adopted: adoptions.length
  }
}

async function measureFleet (sizes: FleetSizes, spanSeconds: number): Promise<FigureRow> {
  const fleet = await Fleet.start(sizes)
  try {
    const idle = await measureIdle(fleet, sizes.nodes, spanSeconds)
    const changes: ChangeFigures[] = []
    for (let number = 1; number <= CHANGES; number++) changes.push(await measureChange(fleet, sizes.nodes, number))
    const readMedian = (read: (change: ChangeFigures) => number): number => computeMedian(changes.map(read))
    return {
      nodes: sizes.nodes,
      regions: sizes.regions,
      ...idle,
      firstMs: readMedian(({ firstMs }) => firstMs),
      medianMs: readMedian(({ medianMs }) => medianMs),
      lastMs: readMedian(({ lastMs }) => lastMs),
      worstMs: Math.max(...changes.map(({ lastMs }) => lastMs)),
      leastAdopted: Math.min(...changes.map(({ adopted }) => adopted)),
      fromStore: readMedian(({ fromStore }) => fromStore),
      readsPerChange: readMedian(({ storeReads }) => storeReads),
      writesPerChange: readMedian(({ storeWrites }) => storeWrites)
    }
  } finally {
    await fleet.close()
  }
}

const SERIES: ReadonlyArray<{ readonly field: string, readonly quantity: string }> = [
  { field: 'cpuPercent', quantity: '% of a core a node' },
  { field: 'heapMb', quantity: 'MB a node' },
  { field: 'peersSentKb', quantity: 'KB/s sent to peers a node' },
  { field: 'platformReceivedKb', quantity: 'KB/s received from the platform a node' },
  { field: 'storeReadsPerSecond', quantity: 'reads/s of the fleet' },
  { field: 'waitingWatches', quantity: 'watches of the fleet' },
  { field: 'readsPerChange', quantity: 'reads a change' },
  { field: 'lastMs', quantity: 'ms until the last node' }
]

async function measureFleets (fleets: ReadonlyArray<Pick<FleetSizes, 'nodes' | 'regions'>>, options: MeasureOptions): Promise<FigureRow[]> {
  const rows: FigureRow[] = []
  for (const { nodes, regions } of fleets) {
    printLine(`${nodes} nodes in ${regions} regions`)
    const row = await measureFleet({ nodes, regions, daemonsPerProcess: DAEMONS_PER_PROCESS, seed: options.seed }, options.seconds)
    printLine(JSON.stringify(row))
    rows.push(row)
  }
  return rows
}

async function writeReport (name: string, size: string, rows: readonly FigureRow[]): Promise<string | undefined> {
  printFigures(`${name} sizes`, rows)
  const report = new ScaleReport(name)
  for (const { field, quantity } of SERIES) {
    report.add({ name: field, size, quantity, points: rows.map((row) => ({ x: Number(row[size]), y: Number(row[field]) })) })
  }
  await report.write()
  const lacking = rows.find((row) => Number(row['leastAdopted']) < Number(row['nodes']))
  return lacking === undefined ? undefined : `at ${lacking['nodes']} nodes only ${lacking['leastAdopted']} had a change in force within ${IN_FORCE_WITHIN_MS} ms`
}

async function runFleetScale (options: MeasureOptions): Promise<string | undefined> {
  const fleets = options.sizes.map((nodes) => ({ nodes, regions: FIXED_REGIONS }))
  return await writeReport(NAME, 'nodes', await measureFleets(fleets, options))
}

async function runRegionScale (options: MeasureOptions): Promise<string | undefined> {
  const fleets = REGIONS.map((regions) => ({ nodes: FIXED_NODES, regions }))
  return await writeReport('scale-regions', 'regions', await measureFleets(fleets, options))
}

/** `npm run measure -- scale-fleet` */
export const FLEET_SCALE_MEASUREMENT: Measurement = {
  summary: `control of a fleet of real daemons in ${FIXED_REGIONS} regions against nodes`,
  run: runFleetScale
}

/** `npm run measure -- scale-regions` */
export const REGION_SCALE_MEASUREMENT: Measurement = {
  summary: `control of a fleet of ${FIXED_NODES} real daemons against regions`,
  run: runRegionScale
}
