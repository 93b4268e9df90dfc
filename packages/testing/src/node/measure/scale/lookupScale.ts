/** `scale-lookup`: the decision of a look-up alone, and the table behind it, against blocks, sites and nodes. */
import { SystemClock } from '@umberspar/base/node/systemClock'
import { SeededRandom } from '@umberspar/base/common/random'
import type { ClientBlockGroup } from '@umberspar/steering/common/lookup/clientBlocks'
import { ClientBlockTable, finishSlices } from '@umberspar/steering/common/lookup/clientBlocks'
import type { LookupNode } from '@umberspar/steering/common/lookup/decideLookup'
import { LookupIndex, NodeState } from '@umberspar/steering/common/lookup/decideLookup'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import type { Measurement, MeasureOptions } from '../measurement.js'
import { printFigures } from '../measurement.js'
import { computeMedian, measureLeast } from './leastSquares.js'
import { buildScaleConfiguration, formatBlockAddress, formatRegion, TARGET } from './scaleConfiguration.js'
import { ScaleReport } from './scaleReport.js'

const NAME = 'scale-lookup'
const BLOCKS = [100, 5000, 25_000, 75_000, TARGET.clientBlocks]
const SITES = [82, 820, 1640, TARGET.sites]
const NODES = [100, 500, 1500, TARGET.nodes]
const FEW_SITES = 82
const FEW_NODES = 84
const ADDRESSES = 8192
const BATCH = 200_000
const ROUNDS = 7
const NS_PER_MS = 1e6
const MS_PER_SECOND = 1000

const clock = new SystemClock()

function buildNodes (count: number): LookupNode[] {
  return Array.from({ length: count }, (_, index) => {
    const region = formatRegion(index % TARGET.regions)
    const failureDomain = `${region}-${Math.floor(index / TARGET.regions) % 4}`
    return { nodeId: `entry-${index}`, region, failureDomain, address: `10.0.${index >> 8}.${index & 255}:8080`, state: NodeState.Live }
  })
}

function listGroups (configuration: SteeringConfiguration): ClientBlockGroup[] {
  return Object.entries(configuration.regions).map(([group, { clientBlocks }]) => ({ group, prefixes: clientBlocks }))
}

function buildAddresses (blocks: number, isIPv4: boolean, seed: number): string[] {
  const random = new SeededRandom(seed)
  return Array.from({ length: ADDRESSES }, () => formatBlockAddress(Math.floor(random.next() * blocks / 2) * 2 + (isIPv4 ? 1 : 0)))
}

/** Nanoseconds of one decision: address to region, service and region to answer. */
function measureDecision (configuration: SteeringConfiguration, nodes: readonly LookupNode[], addresses: readonly string[]): number {
  const table = finishSlices(ClientBlockTable.buildInSlices(listGroups(configuration)))
  const index = LookupIndex.build(configuration, 1, nodes)
  const services = Object.keys(configuration.services)
  return measureLeast(ROUNDS, () => {
    const startedAt = clock.now()
    let found = 0
    for (let step = 0; step < BATCH; step++) {
      const region = table.find(addresses[step % ADDRESSES] as string) ?? ''
      if (index.find(services[step % services.length] as string, region)?.entries.length !== 0) found++
    }
    if (found !== BATCH) throw new Error(`${BATCH - found} decisions named no entry`)
    return (clock.now() - startedAt) * NS_PER_MS / BATCH
  })
}

/** What a build in slices took. */
interface BuildFigures {
  readonly totalMs: number
  readonly longestMs: number
  readonly slices: number
}

function measureBuild (groups: readonly ClientBlockGroup[], previous?: ClientBlockTable): BuildFigures {
  const work = ClientBlockTable.buildInSlices(groups, previous)
  const startedAt = clock.now()
  let longestMs = 0
  for (let slices = 1; ; slices++) {
    const sliceAt = clock.now()
    const next = work.next()
    longestMs = Math.max(longestMs, clock.now() - sliceAt)
    if (next.done === true) return { totalMs: clock.now() - startedAt, longestMs, slices }
  }
}

function measureBuilds (report: ScaleReport): void {
  const rows = BLOCKS.map((blocks) => {
    const groups = listGroups(buildScaleConfiguration({ clientBlocks: blocks, sites: 1, workersPerSite: 1 }))
    const [first, ...others] = groups
    if (first === undefined) throw new Error('no region')
    const previous = finishSlices(ClientBlockTable.buildInSlices(groups))
    const changed = [{ ...first, prefixes: ['9.0.0.0/8', ...first.prefixes] }, ...others.map((group) => ({ ...group, prefixes: [...group.prefixes] }))]
    const anew = Array.from({ length: ROUNDS }, () => measureBuild(groups))
    const part = Array.from({ length: ROUNDS }, () => measureBuild(changed, previous))
    return {
      blocks,
      slices: anew[0]?.slices ?? 0,
      anewMs: computeMedian(anew.map(({ totalMs }) => totalMs)),
      oneGroupMs: computeMedian(part.map(({ totalMs }) => totalMs)),
      longestSliceMedianMs: computeMedian(anew.map(({ longestMs }) => longestMs)),
      longestSliceMostMs: Math.max(...[...anew, ...part].map(({ longestMs }) => longestMs))
    }
  })
  printFigures(`${NAME} build`, rows)
  const size = 'client blocks'
  report.add({ name: 'table built anew', size, quantity: 'ms', points: rows.map(({ blocks, anewMs }) => ({ x: blocks, y: anewMs })) })
  report.add({ name: 'table with one group changed', size, quantity: 'ms', points: rows.map(({ blocks, oneGroupMs }) => ({ x: blocks, y: oneGroupMs })) })
  report.add({ name: 'longest slice', size, quantity: 'ms', points: rows.map((row) => ({ x: row.blocks, y: row.longestSliceMedianMs })) })
}

function measureBlocks (report: ScaleReport, seed: number): void {
  const nodes = buildNodes(FEW_NODES)
  for (const isIPv4 of [true, false]) {
    const points = BLOCKS.map((blocks) => {
      const configuration = buildScaleConfiguration({ clientBlocks: blocks, sites: FEW_SITES, workersPerSite: 1 })
      return { x: blocks, y: measureDecision(configuration, nodes, buildAddresses(blocks, isIPv4, seed)) }
    })
    report.add({ name: `decision, ${isIPv4 ? 'IPv4' : 'IPv6'}`, size: 'client blocks', quantity: 'ns', points })
  }
}

function measureSites (report: ScaleReport, seed: number): void {
  const nodes = buildNodes(FEW_NODES)
  for (const isIPv4 of [true, false]) {
    const points = SITES.map((sites) => {
      const configuration = buildScaleConfiguration({ clientBlocks: TARGET.clientBlocks, sites, workersPerSite: 1 })
      return { x: sites, y: measureDecision(configuration, nodes, buildAddresses(TARGET.clientBlocks, isIPv4, seed)) }
    })
    report.add({ name: `decision, ${isIPv4 ? 'IPv4' : 'IPv6'}, 150,000 blocks`, size: 'sites', quantity: 'ns', points })
  }
}

function measureIndex (report: ScaleReport): void {
  const configuration = buildScaleConfiguration({ clientBlocks: 100, sites: TARGET.sites, workersPerSite: 1 })
  const first: Array<{ x: number, y: number }> = []
  const points = NODES.map((count) => {
    const nodes = buildNodes(count)
    const builds = Array.from({ length: ROUNDS }, () => {
      const startedAt = clock.now()
      LookupIndex.build(configuration, 1, nodes)
      return clock.now() - startedAt
    })
    const decisions = Object.keys(configuration.services).map((service) => {
      const index = LookupIndex.build(configuration, 1, nodes)
      const startedAt = clock.now()
      index.find(service, formatRegion(0))
      return (clock.now() - startedAt) * MS_PER_SECOND
    })
    first.push({ x: count, y: computeMedian(decisions) })
    return { x: count, y: computeMedian(builds) }
  })
  report.add({ name: 'look-up index after a change', size: 'nodes', quantity: 'ms', points })
  report.add({ name: 'first look-up of a service', size: 'nodes', quantity: 'µs', points: first })
}

async function runLookupScale (options: MeasureOptions): Promise<string | undefined> {
  const report = new ScaleReport(NAME)
  measureBlocks(report, options.seed)
  measureSites(report, options.seed)
  measureBuilds(report)
  measureIndex(report)
  await report.write()
  return undefined
}

/** `npm run measure -- scale-lookup` */
export const LOOKUP_SCALE_MEASUREMENT: Measurement = {
  summary: 'a look-up\'s decision and its table against client blocks, sites and nodes',
  run: runLookupScale
}
