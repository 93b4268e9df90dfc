/** `npm run soak -- --seed N --seconds S --processes P`: runs real entry processes under random faults. */
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { endAfterOutput } from '@umberspar/testing/node/endAfterOutput'
import { printLine, writeLine } from '@umberspar/testing/node/terminal'
import { startRunGuard } from './runGuard.js'
import { runSoak } from './soakRun.js'

const DEFAULT_SECONDS = 60
const DEFAULT_PROCESSES = 6
const DEFAULT_RATE_PER_SECOND = 100
const VIOLATIONS_EXIT_CODE = 1

async function main (): Promise<void> {
  const { seed, seconds, processes, rate, runs, logs } = yargs(hideBin(process.argv))
    .scriptName('npm run soak --')
    .option('seed', { type: 'number', default: 1, describe: 'seed of the first run; each further run uses the next seed' })
    .option('seconds', { type: 'number', default: DEFAULT_SECONDS, describe: 'duration of a run; at least 30' })
    .option('processes', { type: 'number', default: DEFAULT_PROCESSES, describe: 'number of entry processes' })
    .option('rate', { type: 'number', default: DEFAULT_RATE_PER_SECOND, describe: 'requests per second' })
    .option('runs', { type: 'number', default: 1, describe: 'number of consecutive runs' })
    .option('logs', { type: 'string', describe: 'existing folder for the logs of the entry processes' })
    .check((options) => {
      if (options.seconds < 30) throw new Error('--seconds must be at least 30, so that the run has a phase of each kind')
      if (options.processes < 1 || options.processes > 100) throw new Error('--processes must be between 1 and 100')
      if (options.rate <= 0) throw new Error('--rate must be greater than 0')
      return true
    })
    .strict()
    .parseSync()
  for (let run = 0; run < runs; run++) {
    const guard = startRunGuard(seed + run, seconds)
    const result = await runSoak({ seed: seed + run, seconds, processes, rate, logs })
    guard.close()
    writeLine(JSON.stringify(result))
    printLine(`seed ${result.seed}: ${result.attempts} attempts, ${Object.values(result.steps).reduce((sum, count) => sum + count, 0)} steps, ${result.violations.length} violations`)
    for (const { rule, subject, detail } of result.violations.slice(0, 20)) printLine(`  ${rule} ${subject}: ${detail}`)
    if (result.violations.length > 0) process.exitCode = VIOLATIONS_EXIT_CODE
  }
}

await main()
endAfterOutput()
