/** `npm run soak:routing -- --seed N --seconds S --processes P`: checks which configuration version real entry processes route by under faults. */
import { pathToFileURL } from 'node:url'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { endAfterOutput } from '@umberspar/testing/node/endAfterOutput'
import { printLine, writeLine } from '@umberspar/testing/node/terminal'
import { RoutingFault } from '../../common/routing/routingPlan.js'
import { startRunGuard } from '../runGuard.js'
import { RoutingRule } from './routingChecker.js'
import { runRouting } from './routingRun.js'

const DEFAULT_SECONDS = 40
const DEFAULT_PROCESSES = 8
const MIN_SECONDS = 15
const MAX_PROCESSES = 40
const MAX_PRINTED_VIOLATIONS = 12
const VIOLATIONS_EXIT_CODE = 1

async function main (): Promise<void> {
  const { seed, seconds, processes, runs, faults, program, logs } = yargs(hideBin(process.argv))
    .scriptName('npm run soak:routing --')
    .option('seed', { type: 'number', default: 1, describe: 'seed of the first run; each further run uses the next seed' })
    .option('seconds', { type: 'number', default: DEFAULT_SECONDS, describe: `duration of a run; at least ${MIN_SECONDS}` })
    .option('processes', { type: 'number', default: DEFAULT_PROCESSES, describe: 'number of entry processes' })
    .option('runs', { type: 'number', default: 1, describe: 'number of consecutive runs' })
    .option('faults', { type: 'array', choices: Object.values(RoutingFault), describe: 'the faults to choose from; all by default' })
    .option('program', { type: 'string', describe: 'bundled entry program of another build, to test instead of this one' })
    .option('logs', { type: 'string', describe: 'existing folder for the logs of the entry processes' })
    .check((options) => {
      if (options.seconds < MIN_SECONDS) throw new Error(`--seconds must be at least ${MIN_SECONDS}, so that the run has a fault`)
      if (options.processes < 1 || options.processes > MAX_PROCESSES) throw new Error(`--processes must be between 1 and ${MAX_PROCESSES}`)
      return true
    })
    .strict()
    .parseSync()
  for (let run = 0; run < runs; run++) {
    const guard = startRunGuard(seed + run, seconds)
    const result = await runRouting({ seed: seed + run, seconds, processes, faults, logs, program: program === undefined ? undefined : pathToFileURL(program) })
    guard.close()
    writeLine(JSON.stringify(result))
    const counts = Object.values(RoutingRule).map((rule) => `${rule} ${result.violations.filter((violation) => violation.rule === rule).length}`)
    printLine(`seed ${result.seed}: ${result.probes} probes, ${result.changes} versions, ${result.steps.length} steps; ${counts.join(', ')}; routed by a replaced version at disrupted VMs: ${result.outOfContact}`)
    for (const { rule, node, detail } of result.violations.slice(0, MAX_PRINTED_VIOLATIONS)) printLine(`  ${rule} ${node}: ${detail}`)
    if (result.violations.length > 0) process.exitCode = VIOLATIONS_EXIT_CODE
  }
}

await main()
endAfterOutput()
