/** The command line of the demo. */
import yargs from 'yargs'
import { DeploymentName } from '../../common/load/mixes.js'

/** What the demo does. */
export interface DemoOptions {
  readonly deployment: DeploymentName
  /** Requests of every service from every region. */
  readonly requests: number
  readonly seed: number
  /** Requests a second of all callers together. */
  readonly rate: number
  /** Whether the users' platform is demonstrated instead: its store and workers, and entry processes over them. */
  readonly isPlatform: boolean
}

const DEFAULT_REQUESTS = 200
const DEFAULT_RATE = 120
const DEFAULT_SEED = 1

/**
 * @param words the arguments behind the program's name
 * @returns the options; ends the process for --help and for wrong arguments
 */
export function parseDemoOptions (words: readonly string[]): DemoOptions {
  const parsed = yargs(words)
    .scriptName('npm run demo --')
    .usage('$0 [options]\n\nRuns a whole deployment on loopback, patches it, drains a failure domain, and checks every promise.')
    .option('deployment', { choices: Object.values(DeploymentName), default: DeploymentName.Teratai, describe: 'which example deployment' })
    .option('requests', { type: 'number', default: DEFAULT_REQUESTS, describe: 'requests of every service from every region' })
    .option('rate', { type: 'number', default: DEFAULT_RATE, describe: 'requests a second, all callers together' })
    .option('seed', { type: 'number', default: DEFAULT_SEED, describe: 'seed of arrivals, sizes and service times' })
    .option('platform', { type: 'boolean', default: false, describe: 'entry processes over stand-ins of the users\' platform instead' })
    .check(({ requests, rate }) => {
      if (!Number.isInteger(requests) || requests < 1) throw new Error('--requests: expected a whole number above 0')
      if (!(rate > 0)) throw new Error('--rate: expected a number above 0')
      return true
    })
    .strict()
    .parseSync()
  return { deployment: parsed.deployment, requests: parsed.requests, seed: parsed.seed, rate: parsed.rate, isPlatform: parsed.platform }
}
