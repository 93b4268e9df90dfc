/** `npm run measure -- NAME`: JSON lines on standard output, tables on standard error. */
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { DeploymentName } from '../../common/load/mixes.js'
import { PatternName, DEFAULT_PATTERNS } from '../../common/policy/loadPattern.js'
import { PolicyName } from '../../common/policy/policies.js'
import { endAfterOutput } from '../endAfterOutput.js'
import { printLine } from '../terminal.js'
import { CONTROL_MEASUREMENT } from './controlMeasurement.js'
import { DRAIN_MEASUREMENT } from './drainMeasurement.js'
import { ENTRY_MEASUREMENT } from './entryMeasurement.js'
import { FAULTS_MEASUREMENT } from './faults/faultsMeasurement.js'
import { LIMITS_MEASUREMENT } from './limitsMeasurement.js'
import { LOOKUP_MEASUREMENT } from './lookupMeasurement.js'
import type { Measurement, MeasureOptions } from './measurement.js'
import { OVERLOAD_MEASUREMENT } from './overloadMeasurement.js'
import { POLICY_MEASUREMENT } from './policyMeasurement.js'
import { REQUEST_MEASUREMENT } from './requestMeasurement.js'
import { WORKER_MEASUREMENT } from './workerMeasurement.js'
import { CHANGE_SCALE_MEASUREMENT } from './scale/changeScale.js'
import { FLEET_SCALE_MEASUREMENT, REGION_SCALE_MEASUREMENT } from './scale/fleetScale.js'
import { HTTP_SCALE_MEASUREMENT } from './scale/httpScale.js'
import { LOOKUP_SCALE_MEASUREMENT } from './scale/lookupScale.js'
import { MEMBER_SCALE_MEASUREMENT } from './scale/memberScale.js'
import { TLS_MEASUREMENT } from './tlsMeasurement.js'

/** The measurements, by the name on the command line. */
enum MeasurementName {
  Control = 'control',
  Drain = 'drain',
  Entry = 'entry',
  Faults = 'faults',
  Limits = 'limits',
  Lookup = 'lookup',
  Overload = 'overload',
  Policy = 'policy',
  Request = 'request',
  Workers = 'workers',
  Tls = 'tls',
  ScaleLookup = 'scale-lookup',
  ScaleChange = 'scale-change',
  ScaleHttp = 'scale-http',
  ScaleMembers = 'scale-members',
  ScaleFleet = 'scale-fleet',
  ScaleRegions = 'scale-regions'
}

const MEASUREMENTS: Readonly<Record<MeasurementName, Measurement>> = {
  [MeasurementName.Control]: CONTROL_MEASUREMENT,
  [MeasurementName.Drain]: DRAIN_MEASUREMENT,
  [MeasurementName.Entry]: ENTRY_MEASUREMENT,
  [MeasurementName.Faults]: FAULTS_MEASUREMENT,
  [MeasurementName.Limits]: LIMITS_MEASUREMENT,
  [MeasurementName.Lookup]: LOOKUP_MEASUREMENT,
  [MeasurementName.Overload]: OVERLOAD_MEASUREMENT,
  [MeasurementName.Policy]: POLICY_MEASUREMENT,
  [MeasurementName.Request]: REQUEST_MEASUREMENT,
  [MeasurementName.Workers]: WORKER_MEASUREMENT,
  [MeasurementName.Tls]: TLS_MEASUREMENT,
  [MeasurementName.ScaleLookup]: LOOKUP_SCALE_MEASUREMENT,
  [MeasurementName.ScaleChange]: CHANGE_SCALE_MEASUREMENT,
  [MeasurementName.ScaleMembers]: MEMBER_SCALE_MEASUREMENT,
  [MeasurementName.ScaleHttp]: HTTP_SCALE_MEASUREMENT,
  [MeasurementName.ScaleFleet]: FLEET_SCALE_MEASUREMENT,
  [MeasurementName.ScaleRegions]: REGION_SCALE_MEASUREMENT
}

const DEFAULT_SECONDS = 10
const DEFAULT_RATE = 200
const DEFAULT_SIZES = [25, 50, 100, 200]
const DEFAULT_REQUESTS = 200_000
const EXIT_NOT_VALID = 1

interface MeasureCall {
  readonly measurement: Measurement
  readonly options: MeasureOptions
}

function parseCall (words: readonly string[]): MeasureCall {
  const names = Object.values(MeasurementName)
  const summaries = names.map((name) => `  ${name}  ${MEASUREMENTS[name].summary}`).join('\n')
  const parsed = yargs(words)
    .scriptName('npm run measure --')
    .usage(`$0 <name> [options]\n\n${summaries}`)
    .command('$0 <name>', false, (command) => command.positional('name', { choices: names, demandOption: true, describe: 'what to measure' }))
    .option('deployment', { choices: Object.values(DeploymentName), default: DeploymentName.Teratai, describe: 'which example deployment' })
    .option('seconds', { type: 'number', default: DEFAULT_SECONDS, describe: 'how long each part measures' })
    .option('rate', { type: 'number', describe: `requests a second, where the load is fixed; ${DEFAULT_RATE} unless the measurement has its own` })
    .option('requests', { type: 'number', default: DEFAULT_REQUESTS, describe: 'requests to send, where they are counted' })
    .option('sizes', { type: 'number', array: true, default: DEFAULT_SIZES, describe: 'sizes of fleet, where they vary' })
    .option('seed', { type: 'number', default: 1, describe: 'seed of all that is random' })
    .option('pattern', { choices: Object.values(PatternName), array: true, default: [...DEFAULT_PATTERNS], describe: 'load patterns of the policy model; the large ones only if named' })
    .option('policy', { choices: Object.values(PolicyName), array: true, default: Object.values(PolicyName), describe: 'policies of the policy model' })
    .option('seeds', { type: 'number', describe: 'seeds that a figure is the mean of, where there are several' })
    .strict()
    .parseSync()
  const { deployment, seconds, requests, seed, sizes, seeds } = parsed
  const { pattern: patterns, policy: policies } = parsed
  const measurement = MEASUREMENTS[parsed.name as MeasurementName]
  const rate = parsed.rate ?? measurement.defaultRate ?? DEFAULT_RATE
  return { measurement, options: { deployment, seconds, rate, requests, seed, sizes, patterns, policies, seeds } }
}

async function main (): Promise<void> {
  const { measurement, options } = parseCall(hideBin(process.argv))
  const reason = await measurement.run(options)
  if (reason === undefined) return
  printLine(`not valid: ${reason}`)
  process.exitCode = EXIT_NOT_VALID
}

await main()
endAfterOutput()
