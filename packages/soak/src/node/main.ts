/** `npm run soak -- --seed N --seconds S --processes P`: real entry processes under random faults. */
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { printLine, writeLine } from '@umberspar/testing/node/terminal'
import { runSoak } from './soakRun.js'

const DEFAULT_SECONDS = 60
const DEFAULT_PROCESSES = 6
const DEFAULT_RATE = 100
const EXIT_VIOLATED = 1

async function main (): Promise<void> {
  const { seed, seconds, processes, rate, runs } = yargs(hideBin(process.argv))
    .scriptName('npm run soak --')
    .option('seed', { type: 'number', default: 1, describe: 'seed of the first run; later runs take the next ones' })
    .option('seconds', { type: 'number', default: DEFAULT_SECONDS, describe: 'how long a run lasts; at least 30' })
    .option('processes', { type: 'number', default: DEFAULT_PROCESSES, describe: 'entry processes' })
    .option('rate', { type: 'number', default: DEFAULT_RATE, describe: 'requests a second' })
    .option('runs', { type: 'number', default: 1, describe: 'runs, one after the other' })
    .check((options) => {
      if (options.seconds < 30) throw new Error('--seconds: at least 30, so that a phase of each kind fits')
      if (options.processes < 1 || options.processes > 100) throw new Error('--processes: 1 to 100')
      if (options.rate <= 0) throw new Error('--rate: above 0')
      return true
    })
    .strict()
    .parseSync()
  for (let run = 0; run < runs; run++) {
    const result = await runSoak({ seed: seed + run, seconds, processes, rate })
    writeLine(JSON.stringify(result))
    printLine(`seed ${result.seed}: ${result.attempts} attempts, ${Object.values(result.steps).reduce((sum, count) => sum + count, 0)} steps, ${result.violations.length} violations`)
    for (const { rule, subject, detail } of result.violations.slice(0, 20)) printLine(`  ${rule} ${subject}: ${detail}`)
    if (result.violations.length > 0) process.exitCode = EXIT_VIOLATED
  }
}

await main()
