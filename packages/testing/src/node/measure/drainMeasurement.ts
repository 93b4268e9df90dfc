/** How long the drain of a failure domain takes against what the caps allow, and what callers see meanwhile. */
import { DeploymentName } from '../../common/load/mixes.js'
import { printLine } from '../terminal.js'
import { DrainRun, type DrainRunResult } from './drainRun.js'
import type { FigureRow, Measurement, MeasureOptions } from './measurement.js'
import { printFigures } from './measurement.js'

const NAME = 'drain'

function buildRow (deployment: DeploymentName, isIdle: boolean, result: DrainRunResult): FigureRow {
  const { before, during } = result
  return {
    deployment,
    what: isIdle ? 'nothing' : `drain ${result.failureDomain}`,
    steps: isIdle ? 0 : result.steps,
    lowerLimitMs: isIdle ? 0 : result.lowerLimitMs,
    drainMs: isIdle ? 0 : Math.round(result.drainMs),
    timeRatio: isIdle ? 0 : result.drainMs / result.lowerLimitMs,
    p99BeforeMs: before.p99Ms,
    p99DuringMs: during.p99Ms,
    p99Ratio: during.p99Ms / before.p99Ms,
    requests: during.count,
    failed: during.failed
  }
}

async function runOne (deployment: DeploymentName, isIdle: boolean, options: MeasureOptions): Promise<DrainRunResult> {
  const run = new DrainRun({ deployment, seed: options.seed, ratePerSecond: options.rate, seconds: options.seconds, isIdle })
  try {
    return await run.run()
  } finally {
    await run.close()
  }
}

async function runDrain (options: MeasureOptions): Promise<string | undefined> {
  const rows: FigureRow[] = []
  let skipped = 0
  for (const deployment of Object.values(DeploymentName)) {
    for (const isIdle of [true, false]) {
      const result = await runOne(deployment, isIdle, options)
      rows.push(buildRow(deployment, isIdle, result))
      skipped += result.skipped
      for (const detail of [...result.before.details, ...result.during.details]) printLine(`${deployment}: ${detail}`)
    }
  }
  printFigures(NAME, rows)
  printLine(`${options.rate} requests a second, ${options.seconds} s before each drain, seed ${options.seed}; 'nothing' is the same span without a drain`)
  return skipped > 0 ? `${skipped} arrivals were skipped` : undefined
}

/** `npm run measure -- drain` */
export const DRAIN_MEASUREMENT: Measurement = {
  summary: 'drain of a failure domain in both deployments: time against the lower limit, p99 of callers, failures',
  run: runDrain
}
