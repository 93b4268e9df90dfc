/** Starts the stand-ins of a deployment alone, for daemons that run as processes of their own. */
import { readFile } from 'node:fs/promises'
import { fileURLToPath } from 'node:url'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { CloseStack } from '@umberspar/base/common/closing'
import { printLine, writeLine } from '../terminal.js'
import { ControlListener } from './controlListener.js'
import { buildEntryVm, loadEntrySettings } from './entrySettings.js'
import { PlatformStandIns } from './platformStandIns.js'

const CONFIG_ROOT = fileURLToPath(new URL('../../../../../../config/', import.meta.url))
const LOOPBACK = '127.0.0.1'
const EXIT_FAILED = 1

/** The command line, parsed. */
interface StandInArguments {
  readonly deployment: string
  readonly config: string | undefined
  readonly storePort: number
  readonly vmsPort: number
  readonly controlPort: number
  readonly vmListLag: number
}

function parseArguments (words: readonly string[]): StandInArguments {
  return yargs(words)
    .scriptName('stand-ins')
    .usage('$0 --deployment teratai|guild\n\nStarts the stand-ins for the platform: key-value service, VM list and upstream workers.')
    .option('deployment', { choices: ['teratai', 'guild'], default: 'teratai', describe: 'whose configuration and settings to use' })
    .option('config', { type: 'string', describe: 'steering configuration file, in place of the deployment\'s own' })
    .option('store-port', { type: 'number', default: 2379, describe: 'port of the key-value service' })
    .option('vms-port', { type: 'number', default: 2480, describe: 'port of the VM list' })
    .option('control-port', { type: 'number', default: 2490, describe: 'port of the listener that switches faults' })
    .option('vm-list-lag', { type: 'number', default: 1000, describe: 'milliseconds until a change of the VM list appears' })
    .strict()
    .parseSync()
}

async function startStandIns (options: StandInArguments, closing: CloseStack): Promise<void> {
  const directory = `${CONFIG_ROOT}${options.deployment}`
  const settings = await loadEntrySettings(directory)
  const configurationInput: unknown = JSON.parse(await readFile(options.config ?? `${directory}/steering.json`, 'utf8'))
  const standIns = closing.add(await PlatformStandIns.start({
    configurationInput,
    keyPrefix: settings[0]?.store.keyPrefix ?? `/umberspar/${options.deployment}/`,
    entryVms: settings.map(buildEntryVm),
    storeAddress: `${LOOPBACK}:${options.storePort}`,
    vmListAddress: `${LOOPBACK}:${options.vmsPort}`,
    vmListLagSpanMs: options.vmListLag,
    usesFreePorts: false
  }))
  const controlUrl = await closing.add(new ControlListener(standIns)).start(`${LOOPBACK}:${options.controlPort}`)
  writeLine(`key-value service  ${standIns.addresses.store}`)
  writeLine(`VM list            ${standIns.addresses.vmListUrl} (${settings.length} entry VMs)`)
  writeLine(`control            ${controlUrl}`)
  for (const { workerId, address } of standIns.fleet.listWorkers()) writeLine(`worker             ${address} ${workerId}`)
  writeLine('ready')
}

async function main (): Promise<void> {
  const closing = new CloseStack()
  const stop = (): void => { closing.close().catch((failure: unknown) => printLine(String(failure))) }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
  try {
    await startStandIns(parseArguments(hideBin(process.argv)), closing)
  } catch (failure) {
    printLine(`stand-ins: ${failure instanceof Error ? failure.message : String(failure)}`)
    process.exitCode = EXIT_FAILED
    await closing.close()
  }
}

await main()
