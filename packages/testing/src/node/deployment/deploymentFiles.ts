/** The two deployments' files in `config/`. */
import { readFile } from 'node:fs/promises'
import { fileURLToPath } from 'node:url'
import type { LogLevel } from '@umberspar/base/common/logger'
import type { DaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import type { DeploymentName } from '../../common/load/mixes.js'
import { loadEntrySettings } from '../standIns/entrySettings.js'
import { findFreeAddresses } from './freeAddresses.js'

const CONFIG_ROOT = fileURLToPath(new URL('../../../../../../config/', import.meta.url))
/** Each entry VM has a loopback host of its own. */
const ENTRY_NETWORK = '127.20.0'
const LISTENERS_PER_ENTRY = 3

/** What a deployment consists of. */
export interface DeploymentFiles {
  /** The steering configuration as it stands in its file. */
  readonly configurationInput: unknown
  /** The daemons' settings, with addresses that are free on this machine. */
  readonly settings: readonly DaemonSettings[]
}

/**
 * Reads a deployment and gives its daemons free addresses.
 * @param deployment which
 * @param entries how many entry VMs, spread evenly over the failure domains
 * @param logLevel what daemons log
 * @returns configuration and settings
 */
export async function loadDeploymentFiles (deployment: DeploymentName, entries: number, logLevel: LogLevel): Promise<DeploymentFiles> {
  const directory = `${CONFIG_ROOT}${deployment}`
  const configurationInput: unknown = JSON.parse(await readFile(`${directory}/steering.json`, 'utf8'))
  const chosen = chooseEntries(await loadEntrySettings(directory), entries)
  const settings = await Promise.all(chosen.map((each, index) => addFreeAddresses(each, index, logLevel)))
  return { configurationInput, settings }
}

/** Takes the first of each failure domain, then the second of each, and so on. */
function chooseEntries (all: readonly DaemonSettings[], entries: number): DaemonSettings[] {
  const roundById = new Map<string, number>()
  const taken = new Map<string, number>()
  for (const { nodeId, failureDomain } of all) {
    const round = taken.get(failureDomain) ?? 0
    taken.set(failureDomain, round + 1)
    roundById.set(nodeId, round)
  }
  const getRound = ({ nodeId }: DaemonSettings): number => roundById.get(nodeId) ?? 0
  return [...all].sort((one, other) => getRound(one) - getRound(other)).slice(0, entries)
}

async function addFreeAddresses (settings: DaemonSettings, index: number, logLevel: LogLevel): Promise<DaemonSettings> {
  const [callers, peers, operators] = await findFreeAddresses(`${ENTRY_NETWORK}.${index + 1}`, LISTENERS_PER_ENTRY)
  return {
    ...settings,
    callers: { address: callers ?? '' },
    peers: { address: peers ?? '' },
    operators: { address: operators ?? '' },
    logLevel
  }
}

/**
 * @param settings a daemon's settings
 * @param platform where the platform's stand-ins listen
 * @returns the settings of a daemon that uses these stand-ins
 */
export function addPlatform (settings: DaemonSettings, platform: { readonly store: string, readonly vmListUrl: string }): DaemonSettings {
  const { keyPrefix } = settings.store
  return { ...settings, store: { endpoints: [platform.store], keyPrefix }, vmList: { url: platform.vmListUrl } }
}
