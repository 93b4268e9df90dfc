/** `scale-members`: what a node keeps of every other node, and the VM list that it reads, against nodes. */
import { SystemClock } from '@umberspar/base/node/systemClock'
import type { MemberReport } from '@umberspar/steering/common/membership/memberReport'
import { MemberTable } from '@umberspar/steering/common/membership/memberTable'
import { NodeState } from '@umberspar/steering/common/state/nodeState'
import type { VmEntry } from '@umberspar/steering/common/ports/vmList'
import { VmRole, VmState } from '@umberspar/steering/common/ports/vmList'
import type { Measurement } from '../measurement.js'
import { measureHeldMb } from './heap.js'
import { measureLeast } from './leastSquares.js'
import { formatRegion, TARGET } from './scaleConfiguration.js'
import { ScaleReport } from './scaleReport.js'

const NAME = 'scale-members'
const NODES = [250, 500, 1000, 2000, TARGET.nodes]
const ROUNDS = 5
const BYTES_PER_KB = 1000
const MICROSECONDS_PER_MS = 1000

const clock = new SystemClock()

function buildReport (index: number, beat: number): MemberReport {
  return {
    nodeId: `entry-${index}`,
    incarnation: 1_700_000_000_000 + index,
    beat,
    state: NodeState.Live,
    documents: [{ name: 'configuration', version: 7, changeId: `change-${index}`, digest: '0123456789abcdef' }],
    demand: [],
    isSuspected: false
  }
}

function buildVm (index: number): VmEntry {
  const region = formatRegion(index % TARGET.regions)
  const host = `10.${index >> 8}.${index & 255}.1`
  return {
    vmId: `entry-${index}`,
    role: VmRole.Entry,
    state: VmState.Live,
    region,
    failureDomain: `${region}-${index % 4}`,
    address: `${host}:8080`,
    peerAddress: `${host}:8081`,
    operatorAddress: `${host}:8082`
  }
}

interface MemberFigures {
  readonly nodes: number
  readonly tableMb: number
  readonly listMb: number
  readonly listKb: number
  readonly parseMs: number
  readonly observeUs: number
}

function buildTable (nodes: number): MemberTable {
  const table = new MemberTable('entry-self')
  // Reports come from the wire: none shares its texts with another.
  for (let index = 0; index < nodes; index++) table.observe(JSON.parse(JSON.stringify(buildReport(index, 1))) as MemberReport, clock.now())
  return table
}

function measureSize (nodes: number): MemberFigures {
  const text = JSON.stringify({ version: 1, vms: Array.from({ length: nodes }, (_, index) => buildVm(index)) })
  const tableMb = measureHeldMb(() => buildTable(nodes))
  const listMb = measureHeldMb(() => JSON.parse(text))
  const table = buildTable(nodes)
  const parseMs = measureLeast(ROUNDS, () => {
    const startedAt = clock.now()
    JSON.parse(text)
    return clock.now() - startedAt
  })
  let beat = 1
  const observeUs = measureLeast(ROUNDS, () => {
    beat++
    const startedAt = clock.now()
    for (let index = 0; index < nodes; index++) table.observe(buildReport(index, beat), clock.now())
    return (clock.now() - startedAt) * MICROSECONDS_PER_MS / nodes
  })
  return { nodes, tableMb, listMb, listKb: text.length / BYTES_PER_KB, parseMs, observeUs }
}

const SERIES: ReadonlyArray<{ readonly field: keyof MemberFigures, readonly name: string, readonly quantity: string }> = [
  { field: 'tableMb', name: 'reports of all nodes', quantity: 'MB' },
  { field: 'listMb', name: 'VM list in memory', quantity: 'MB' },
  { field: 'listKb', name: 'VM list as text', quantity: 'KB' },
  { field: 'parseMs', name: 'VM list parsed', quantity: 'ms' },
  { field: 'observeUs', name: 'one report taken in', quantity: 'µs' }
]

async function runMemberScale (): Promise<string | undefined> {
  const rows = NODES.map(measureSize)
  const report = new ScaleReport(NAME)
  for (const { field, name, quantity } of SERIES) {
    report.add({ name, size: 'nodes', quantity, points: rows.map((row) => ({ x: row.nodes, y: row[field] })) })
  }
  await report.write()
  return undefined
}

/** `npm run measure -- scale-members` */
export const MEMBER_SCALE_MEASUREMENT: Measurement = {
  summary: 'state and processor time of a node for every other node',
  run: runMemberScale
}
