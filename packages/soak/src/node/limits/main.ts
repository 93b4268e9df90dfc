/** `npm run soak:limits -- --seed N --processes P --faults F…`: checks what workers that announce rate limits get from real entry processes. */
import { pathToFileURL } from 'node:url'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { endAfterOutput } from '@umberspar/testing/node/endAfterOutput'
import { printLine, writeLine } from '@umberspar/testing/node/terminal'
import { startRunGuard } from '../runGuard.js'
import { LimitsFault, type LimitsResult } from './limitsOptions.js'
import { runLimits } from './limitsRun.js'

const DEFAULT_SECONDS = 25
const DEFAULT_PROCESSES = 8
const DEFAULT_RATE_PER_SECOND = 400
const DEFAULT_LIMIT_PER_SECOND = 10
const DEFAULT_LIMITED_WORKERS = 2
const MAX_PROCESSES = 100
/** Start of the processes, quiet time and recovery around the part with faults. */
const FRAME_SECONDS = 60
const MAX_PRINTED_VIOLATIONS = 5
const VIOLATIONS_EXIT_CODE = 1

function printResult ({ seed, maxima, quietRequests, statuses, exits, violations }: LimitsResult): void {
  const busiest = maxima.map(({ workerId, requests, allowed }) => `${workerId} ${requests} of ${allowed}`).join(', ')
  printLine(`seed ${seed}: busiest windows ${busiest}; quiet ${JSON.stringify(quietRequests)}; ${violations.length} violations, ${exits.length} exits`)
  printLine(`  answers: ${JSON.stringify(statuses)}`)
  for (const line of [...exits, ...violations.slice(0, MAX_PRINTED_VIOLATIONS)]) printLine(`  ${line}`)
}

async function main (): Promise<void> {
  const { seed, seconds, processes, rate, limit, limited, runs, faults, program, logs } = yargs(hideBin(process.argv))
    .scriptName('npm run soak:limits --')
    .option('seed', { type: 'number', default: 1, describe: 'seed of the first run; each further run uses the next seed' })
    .option('seconds', { type: 'number', default: DEFAULT_SECONDS, describe: 'duration of the part with faults' })
    .option('processes', { type: 'number', default: DEFAULT_PROCESSES, describe: 'number of entry processes' })
    .option('rate', { type: 'number', default: DEFAULT_RATE_PER_SECOND, describe: 'requests per second' })
    .option('limit', { type: 'number', default: DEFAULT_LIMIT_PER_SECOND, describe: 'limit of each limited worker, in requests per second' })
    .option('limited', { type: 'number', default: DEFAULT_LIMITED_WORKERS, describe: 'number of workers that announce a limit, of 8' })
    .option('runs', { type: 'number', default: 1, describe: 'number of consecutive runs' })
    .option('faults', { type: 'array', choices: Object.values(LimitsFault), default: [], describe: 'the faults, all at a time; none by default' })
    .option('program', { type: 'string', describe: 'bundled entry program of another build, to test instead of this one' })
    .option('logs', { type: 'string', describe: 'existing folder for the logs of the entry processes' })
    .check((options) => {
      if (options.processes < 1 || options.processes > MAX_PROCESSES) throw new Error(`--processes must be between 1 and ${MAX_PROCESSES}`)
      if (options.rate <= 0 || options.limit <= 0) throw new Error('--rate and --limit must be greater than 0')
      if (options.limited < 1 || options.limited > 8) throw new Error('--limited must be between 1 and 8')
      return true
    })
    .strict()
    .parseSync()
  for (let run = 0; run < runs; run++) {
    const guard = startRunGuard(seed + run, seconds + FRAME_SECONDS)
    const result = await runLimits({ seed: seed + run, seconds, processes, ratePerSecond: rate, limitPerSecond: limit, limitedWorkers: limited, faults, logs, program: program === undefined ? undefined : pathToFileURL(program) })
    guard.close()
    writeLine(JSON.stringify(result))
    printResult(result)
    if (result.violations.length > 0 || result.exits.length > 0) process.exitCode = VIOLATIONS_EXIT_CODE
  }
}

await main()
endAfterOutput()
