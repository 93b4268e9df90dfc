/** The entry VMs of a deployment, read from its daemons' settings files. */
import { readdir, readFile } from 'node:fs/promises'
import { join } from 'node:path'
import { validateDaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import type { DaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import type { VmEntry } from '@umberspar/steering/common/ports/vmList'
import { VmRole, VmState } from '@umberspar/steering/common/ports/vmList'

const SETTINGS_FILE = /^entry-\d+\.json$/

/**
 * @param directory the deployment's directory
 * @returns the settings of its daemons in the order of their node ids; empty if the directory holds none
 * @throws if a file breaks the settings' schema
 */
export async function loadEntrySettings (directory: string): Promise<DaemonSettings[]> {
  const files = (await readdir(directory)).filter((file) => SETTINGS_FILE.test(file))
  const settings: DaemonSettings[] = []
  for (const file of files) {
    const checked = validateDaemonSettings(JSON.parse(await readFile(join(directory, file), 'utf8')))
    if (checked.err) throw new Error(`${file}: ${checked.val.map((problem) => `${problem.path}: ${problem.message}`).join('; ')}`)
    settings.push(checked.val)
  }
  return settings.sort((one, other) => one.nodeId.localeCompare(other.nodeId, 'en', { numeric: true }))
}

/**
 * @param settings one daemon's settings
 * @returns its VM as the platform lists it
 */
export function buildEntryVm (settings: DaemonSettings): VmEntry {
  return {
    vmId: settings.nodeId,
    role: VmRole.Entry,
    state: VmState.Live,
    region: settings.region,
    failureDomain: settings.failureDomain,
    address: settings.callers.address,
    peerAddress: settings.peers.address,
    operatorAddress: settings.operators.address
  }
}
