/** `scale-change`: what one change of the configuration costs a node, against the size of the configuration. */
import { SystemClock } from '@umberspar/base/node/systemClock'
import { computeDigest, encodeCanonical } from '@umberspar/steering/common/configuration/canonicalJson'
import { decodeBody, splitBody } from '@umberspar/steering/common/configuration/configurationChunks'
import type { ChunkedBody } from '@umberspar/steering/common/configuration/configurationChunks'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import { validateConfiguration } from '@umberspar/steering/common/configuration/validateConfiguration'
import { ClientBlockTable, finishSlices } from '@umberspar/steering/common/lookup/clientBlocks'
import type { FigureRow, Measurement } from '../measurement.js'
import { printFigures } from '../measurement.js'
import { measureHeldMb } from './heap.js'
import { measureLeast } from './leastSquares.js'
import { buildScaleConfiguration, formatRegion, TARGET } from './scaleConfiguration.js'
import { ScaleReport } from './scaleReport.js'

const NAME = 'scale-change'
const BLOCKS = [1500, 15_000, 50_000, 100_000, TARGET.clientBlocks]
const WORKERS_PER_SITE = 3
const ROUNDS = 3
const FIXED_CUT_BYTES = 524_288
const DIGESTER = { computeDigest }

const clock = new SystemClock()

function measureMs (work: () => unknown): number {
  return measureLeast(ROUNDS, () => {
    const startedAt = clock.now()
    work()
    return clock.now() - startedAt
  })
}

/** One change of each kind: a client block among the first region's, a drain, a worker's slots. */
function listChanges (body: SteeringConfiguration): Record<string, SteeringConfiguration> {
  const region = formatRegion(0)
  const added = structuredClone(body)
  added.regions[region]?.clientBlocks.splice(Math.floor(body.regions[region]?.clientBlocks.length ?? 0) / 2, 0, '9.0.0.0/8')
  const drained = structuredClone(body)
  drained.drains.failureDomains.push(`${region}-1`)
  const resized = structuredClone(body)
  const worker = resized.services['service-0']?.places[`${formatRegion(1)}-0`]?.workers['worker-0']
  if (worker !== undefined) worker.slots++
  return { block: added, drain: drained, worker: resized }
}

/** Bytes that a node fetches which holds the body before. */
function countMoved (before: ChunkedBody, after: ChunkedBody): number {
  const held = new Map(before.textByName)
  let moved = JSON.stringify(after.manifest).length
  for (;;) {
    const assembled = decodeBody(after.manifest, (name) => held.get(name)).unwrap()
    if (assembled.isWhole) return moved
    for (const name of assembled.missing) {
      const text = after.textByName.get(name) ?? ''
      held.set(name, text)
      moved += text.length
    }
  }
}

/** Bytes that differ when bodies are cut at fixed places, as they were before. */
function countMovedFixed (before: string, after: string): number {
  let moved = 0
  for (let from = 0; from < after.length; from += FIXED_CUT_BYTES) {
    const chunk = after.slice(from, from + FIXED_CUT_BYTES)
    if (chunk !== before.slice(from, from + FIXED_CUT_BYTES)) moved += chunk.length
  }
  return moved
}

function measureHeap (text: string): { textMb: number, bodyMb: number, tableMb: number, chunksMb: number } {
  const body = JSON.parse(text) as SteeringConfiguration
  const groups = Object.entries(body.regions).map(([group, { clientBlocks }]) => ({ group, prefixes: clientBlocks }))
  return {
    textMb: measureHeldMb(() => Buffer.from(text).toString('latin1')),
    bodyMb: measureHeldMb(() => JSON.parse(text)),
    tableMb: measureHeldMb(() => finishSlices(ClientBlockTable.buildInSlices(groups))),
    chunksMb: measureHeldMb(() => splitBody(text, DIGESTER))
  }
}

function countSites (clientBlocks: number): number {
  return Math.max(TARGET.regions, Math.round(clientBlocks * TARGET.sites / TARGET.clientBlocks))
}

function buildBody (clientBlocks: number): SteeringConfiguration {
  return buildScaleConfiguration({ clientBlocks, sites: countSites(clientBlocks), workersPerSite: WORKERS_PER_SITE })
}

function measureSize (clientBlocks: number): FigureRow {
  const sites = countSites(clientBlocks)
  const body = buildBody(clientBlocks)
  const text = encodeCanonical(body)
  const before = splitBody(text, DIGESTER)
  const moved = Object.entries(listChanges(body)).map(([kind, changed]) => {
    const changedText = encodeCanonical(changed)
    return { kind, chunks: countMoved(before, splitBody(changedText, DIGESTER)), fixed: countMovedFixed(text, changedText) }
  })
  const find = (kind: string): { chunks: number, fixed: number } => moved.find((each) => each.kind === kind) ?? { chunks: NaN, fixed: NaN }
  return {
    blocks: clientBlocks,
    sites,
    bodyBytes: text.length,
    chunks: before.textByName.size,
    levels: before.manifest.levels,
    blockMoves: find('block').chunks,
    drainMoves: find('drain').chunks,
    workerMoves: find('worker').chunks,
    blockMovesFixed: find('block').fixed,
    workerMovesFixed: find('worker').fixed,
    parseMs: measureMs(() => JSON.parse(text)),
    validateMs: measureMs(() => validateConfiguration(JSON.parse(text))),
    encodeMs: measureMs(() => encodeCanonical(body)),
    digestMs: measureMs(() => computeDigest(text)),
    splitMs: measureMs(() => splitBody(text, DIGESTER))
  }
}

const SERIES: ReadonlyArray<{ readonly field: string, readonly quantity: string }> = [
  { field: 'bodyBytes', quantity: 'bytes' },
  { field: 'blockMoves', quantity: 'bytes' },
  { field: 'workerMoves', quantity: 'bytes' },
  { field: 'validateMs', quantity: 'ms' },
  { field: 'parseMs', quantity: 'ms' },
  { field: 'encodeMs', quantity: 'ms' },
  { field: 'digestMs', quantity: 'ms' },
  { field: 'splitMs', quantity: 'ms' },
  { field: 'textMb', quantity: 'MB' },
  { field: 'bodyMb', quantity: 'MB' },
  { field: 'tableMb', quantity: 'MB' },
  { field: 'chunksMb', quantity: 'MB' }
]

async function runChangeScale (): Promise<string | undefined> {
  // Memory first, while nothing else of this size has been held.
  const heaps = BLOCKS.map((clientBlocks) => measureHeap(encodeCanonical(buildBody(clientBlocks))))
  const rows = BLOCKS.map((clientBlocks, index): FigureRow => ({ ...measureSize(clientBlocks), ...heaps[index] }))
  printFigures(`${NAME} sizes`, rows)
  const report = new ScaleReport(NAME)
  for (const { field, quantity } of SERIES) {
    const points = rows.map((row) => ({ x: Number(row['blocks']), y: Number(row[field]) }))
    report.add({ name: field, size: 'client blocks (sites in proportion)', quantity, points })
  }
  await report.write()
  return undefined
}

/** `npm run measure -- scale-change` */
export const CHANGE_SCALE_MEASUREMENT: Measurement = {
  summary: 'bytes, processor time and heap of a change against the configuration\'s size',
  run: runChangeScale
}
