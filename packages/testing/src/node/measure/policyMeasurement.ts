/** The product's decisions beside simpler ones, on the load patterns of the policy model; writes docs/plots/policy.svg. */
import { mkdir, writeFile } from 'node:fs/promises'
import { fileURLToPath } from 'node:url'
import { parse, View } from 'vega'
import { compile, type TopLevelSpec } from 'vega-lite'
import { PatternName, PATTERNS, DEFAULT_PATTERNS } from '../../common/policy/loadPattern.js'
import { PolicyName, POLICIES } from '../../common/policy/policies.js'
import { PolicySimulation, type PolicyResult } from '../../common/policy/policySimulation.js'
import { type FigureRow, type Measurement, printFigures } from './measurement.js'

const NAME = 'policy'
const PLOT = fileURLToPath(new URL('../../../../../../docs/plots/policy', import.meta.url))
const DEFAULT_SEEDS = 12

function computeMean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

function measurePolicy (pattern: PatternName, policy: PolicyName, firstSeed: number, seeds: number): FigureRow {
  const results = Array.from({ length: seeds }, (_, index): PolicyResult => new PolicySimulation(PATTERNS[pattern], POLICIES[policy], firstSeed + index).run())
  const worth = computeMean(results.map((result) => result.worth))
  const spread = Math.sqrt(computeMean(results.map((result) => (result.worth - worth) ** 2)))
  return {
    pattern,
    policy,
    worth,
    spread,
    inTime: computeMean(results.map((result) => result.inTime)),
    late: computeMean(results.map((result) => result.late)),
    unserved: computeMean(results.map((result) => result.unserved))
  }
}

async function writePlot (rows: readonly FigureRow[]): Promise<void> {
  const spec: TopLevelSpec = {
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    data: { values: [...rows] },
    mark: 'bar',
    encoding: {
      x: { field: 'pattern', type: 'nominal', title: 'load pattern' },
      xOffset: { field: 'policy' },
      y: { field: 'worth', type: 'quantitative', title: 'worth of answers over worth of requests' },
      color: { field: 'policy', type: 'nominal' }
    },
    background: 'white'
  }
  const svg = await new View(parse(compile(spec).spec), { renderer: 'none' }).toSVG()
  await mkdir(fileURLToPath(new URL('.', `file://${PLOT}`)), { recursive: true })
  await writeFile(`${PLOT}.svg`, svg)
  await writeFile(`${PLOT}.jsonl`, `${rows.map((row) => JSON.stringify({ measurement: NAME, ...row })).join('\n')}\n`)
}

/** `npm run measure -- policy` */
export const POLICY_MEASUREMENT: Measurement = {
  summary: 'worth by load pattern and policy, in simulated time (--pattern, --policy, --seeds)',
  async run ({ seed, patterns, policies, seeds = DEFAULT_SEEDS }) {
    const rows = patterns.flatMap((pattern) => policies.map((policy) => measurePolicy(pattern, policy, seed, seeds)))
    printFigures(NAME, rows)
    // A part of the table would replace the plot of the whole.
    if (patterns.length === DEFAULT_PATTERNS.length && policies.length === Object.keys(POLICIES).length) await writePlot(rows)
    return undefined
  }
}
