/** `npm run soak:recovery -- --processes P --rate R`: how soon real entry processes that were all killed at once serve again. */
import { pathToFileURL } from 'node:url'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { endAfterOutput } from '@umberspar/testing/node/endAfterOutput'
import { printLine, writeLine } from '@umberspar/testing/node/terminal'
import { startRunGuard } from '../runGuard.js'
import { RecoveryFault } from './recoveryOptions.js'
import { runRecovery } from './recoveryRun.js'

const DEFAULT_SECONDS = 25
const DEFAULT_PROCESSES = 12
const DEFAULT_WORKERS = 48
const DEFAULT_RATE = 100
const MAX_PROCESSES = 110
const MAX_BUSY_PROCESSES = 48
/** Starting all processes under load takes long. */
const START_MARGIN_MS = 300_000
const NOT_RECOVERED_EXIT_CODE = 1
/** The users' rule: less than a quarter served is no recovery, unless it was so before. */
const MIN_SERVED_SHARE = 0.25
const MAX_PRINTED_REASONS = 3
const MS_PER_SECOND = 1_000

async function main (): Promise<void> {
  const options = yargs(hideBin(process.argv))
    .scriptName('npm run soak:recovery --')
    .option('seed', { type: 'number', default: 1, describe: 'seed of the first run; each further run uses the next seed' })
    .option('runs', { type: 'number', default: 1, describe: 'number of consecutive runs' })
    .option('seconds', { type: 'number', default: DEFAULT_SECONDS, describe: 'how long a run goes on after the processes are back' })
    .option('processes', { type: 'number', default: DEFAULT_PROCESSES, describe: 'number of entry processes' })
    .option('workers', { type: 'number', default: DEFAULT_WORKERS, describe: 'number of workers' })
    .option('rate', { type: 'number', default: DEFAULT_RATE, describe: 'requests a second' })
    .option('quota', { type: 'number', describe: 'processor time of each entry process, as a share of a core' })
    .option('busy', { type: 'number', default: 0, describe: 'busy processes beside' })
    .option('busy-seconds', { type: 'number', describe: 'how long after the return of the processes the busy ones end; to the end of the run by default' })
    .option('quotas', { type: 'boolean', default: true, describe: 'whether the client accounts have quotas' })
    .option('faults', { type: 'array', choices: Object.values(RecoveryFault), default: [] as RecoveryFault[], describe: 'what fails together with the processes' })
    .option('program', { type: 'string', describe: 'bundled entry program of another build, to test instead of this one' })
    .option('logs', { type: 'string', describe: 'existing folder for the logs of the entry processes' })
    .check(({ processes, busy }) => {
      if (processes < 1 || processes > MAX_PROCESSES) throw new Error(`--processes must be between 1 and ${MAX_PROCESSES}`)
      if (busy < 0 || busy > MAX_BUSY_PROCESSES) throw new Error(`--busy must be between 0 and ${MAX_BUSY_PROCESSES}`)
      return true
    })
    .strict()
    .parseSync()
  for (let run = 0; run < options.runs; run++) {
    const seed = options.seed + run
    const guard = startRunGuard(seed, options.seconds, START_MARGIN_MS)
    const { processes, workers, rate, quota, busy, busySeconds, seconds, faults, quotas, program, logs } = options
    const result = await runRecovery({ seed, processes, workers, ratePerSecond: rate, quota, busyProcesses: busy, busySeconds, seconds, faults, hasQuotas: quotas, logs, program: program === undefined ? undefined : pathToFileURL(program) })
    guard.close()
    writeLine(JSON.stringify(result))
    for (const { at, sent, served, unaddressed, callersLateMs, readyVms, cpuSeconds, failures } of result.seconds) {
      const reasons = Object.entries(failures).sort(([, left], [, right]) => right - left).slice(0, MAX_PRINTED_REASONS).map(([reason, count]) => `${count} ${reason}`).join('; ')
      printLine(`${at.toFixed(1).padStart(6)} s: ${served} of ${sent} served, ${unaddressed} without an address, ${readyVms} VMs ready, ${cpuSeconds.toFixed(1)} s of processor time, callers ${(callersLateMs / MS_PER_SECOND).toFixed(1)} s late  ${reasons}`)
    }
    printLine(Object.entries(result.counters).map(([name, count]) => `${name} ${count}`).join(', '))
    const { servedBefore, servedAfter, storeCalls, exits } = result
    printLine(`seed ${seed}: ${servedBefore.toFixed(3)} served before, ${servedAfter?.toFixed(3)} from the bound on, ${storeCalls} calls to the store, ${exits.length} unexpected exits`)
    if (exits.length > 0 || (servedBefore >= MIN_SERVED_SHARE && (servedAfter ?? 0) < MIN_SERVED_SHARE)) process.exitCode = NOT_RECOVERED_EXIT_CODE
  }
}

await main()
endAfterOutput()
