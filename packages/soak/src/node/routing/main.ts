/** `npm run soak:routing -- --seed N --seconds S --processes P`: by which version real entry processes route under faults. */
import { pathToFileURL } from 'node:url'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { printLine, writeLine } from '@umberspar/testing/node/terminal'
import { RoutingFault } from '../../common/routing/routingPlan.js'
import { RoutingRule } from './routingJudge.js'
import { runRouting } from './routingRun.js'

const DEFAULT_SECONDS = 40
const DEFAULT_PROCESSES = 8
const LEAST_SECONDS = 15
const MOST_PROCESSES = 40
const PRINTED = 12
const EXIT_VIOLATED = 1

async function main (): Promise<void> {
  const { seed, seconds, processes, runs, faults, program, logs } = yargs(hideBin(process.argv))
    .scriptName('npm run soak:routing --')
    .option('seed', { type: 'number', default: 1, describe: 'seed of the first run; later runs take the next ones' })
    .option('seconds', { type: 'number', default: DEFAULT_SECONDS, describe: `how long a run lasts; at least ${LEAST_SECONDS}` })
    .option('processes', { type: 'number', default: DEFAULT_PROCESSES, describe: 'entry processes' })
    .option('runs', { type: 'number', default: 1, describe: 'runs, one after the other' })
    .option('faults', { type: 'array', choices: Object.values(RoutingFault), describe: 'the kinds of faults to draw from; all if left out' })
    .option('program', { type: 'string', describe: 'the bundled entry program of another build' })
    .option('logs', { type: 'string', describe: 'an existing folder for the logs of entry processes' })
    .check((options) => {
      if (options.seconds < LEAST_SECONDS) throw new Error(`--seconds: at least ${LEAST_SECONDS}, so that a fault fits`)
      if (options.processes < 1 || options.processes > MOST_PROCESSES) throw new Error(`--processes: 1 to ${MOST_PROCESSES}`)
      return true
    })
    .strict()
    .parseSync()
  for (let run = 0; run < runs; run++) {
    const result = await runRouting({ seed: seed + run, seconds, processes, faults, logs, program: program === undefined ? undefined : pathToFileURL(program) })
    writeLine(JSON.stringify(result))
    const counts = Object.values(RoutingRule).map((rule) => `${rule} ${result.violations.filter((violation) => violation.rule === rule).length}`)
    printLine(`seed ${result.seed}: ${result.probes} probes, ${result.changes} versions, ${result.steps.length} steps; ${counts.join(', ')}; out of contact ${result.outOfContact}`)
    for (const { rule, node, detail } of result.violations.slice(0, PRINTED)) printLine(`  ${rule} ${node}: ${detail}`)
    if (result.violations.length > 0) process.exitCode = EXIT_VIOLATED
  }
}

await main()
