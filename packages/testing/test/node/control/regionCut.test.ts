/** A region that loses its peers, the store or both, and comes back. */
import assert from 'node:assert/strict'
import { it } from 'node:test'
import { CloseStack } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { LogLevel, NULL_LOGGER } from '@umberspar/base/common/logger'
import { SeededRandom } from '@umberspar/base/common/random'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { createDaemon, type Daemon } from '@umberspar/daemon/node/daemon'
import { DeploymentName } from '../../../src/common/load/mixes.js'
import { addPlatform, loadDeploymentFiles } from '../../../src/node/deployment/deploymentFiles.js'
import { OperatorCalls } from '../../../src/node/deployment/operatorCalls.js'
import { RegionalNetwork } from '../../../src/node/deployment/regionalNetwork.js'
import { waitForCondition } from '../../../src/node/load/polling.js'
import { buildEntryVm } from '../../../src/node/standIns/entrySettings.js'
import { PlatformStandIns } from '../../../src/node/standIns/platformStandIns.js'

const LONG_MS = 60_000
const POLL_MS = 20

it('a cut region keeps its version without store and peers, hears by either, and catches up by both', async () => {
  // A region loses the others for minutes. With the store in reach its own watchers
  // bring changes; without it, its nodes serve by the last version, never a lower one.
  const closing = new CloseStack()
  const clock = new SystemClock()
  try {
    const files = await loadDeploymentFiles(DeploymentName.Guild, 6, LogLevel.Error)
    const platform = closing.add(await PlatformStandIns.start({ configurationInput: files.configurationInput, keyPrefix: files.settings[0]?.store.keyPrefix ?? '', entryVms: files.settings.map(buildEntryVm), clock }))
    const network = closing.add(await RegionalNetwork.start(files.settings.map((each) => addPlatform(each, platform.addresses)), platform.addresses.store))
    const operators = closing.add(new OperatorCalls())
    const daemons = network.settings.map((each, index): Daemon => closing.add(createDaemon(each, { logger: NULL_LOGGER, clock, random: new SeededRandom(index) })))
    for (const daemon of daemons) assert.ok((await daemon.start()).ok)
    const region = network.settings[0]?.region ?? ''
    const inside = network.settings.filter((each) => each.region === region).map((each) => each.operators.address)
    const outside = network.settings.filter((each) => each.region !== region).map((each) => each.operators.address)
    const waitForVersion = (addresses: readonly string[], version: number): Promise<boolean> => waitForCondition(clock, createDeadline(clock.now(), LONG_MS), POLL_MS, async () => {
      const versions = await Promise.all(addresses.map((address) => operators.readVersion(address)))
      return versions.every((one) => one === version)
    })
    const patch = async (baseVersion: number): Promise<void> => {
      const answer = await operators.patch(outside[0] ?? '', { baseVersion, changeId: `cut-${baseVersion}`, patch: { lookupCacheMs: 1000 + baseVersion }, note: '' })
      assert.equal(answer.status, 200, answer.text)
    }
    network.setCut(region, { arePeersCut: true, isStoreCut: false })
    await patch(1)
    assert.ok(await waitForVersion([...inside, ...outside], 2))
    network.setCut(region, { arePeersCut: false, isStoreCut: true })
    await patch(2)
    assert.ok(await waitForVersion([...inside, ...outside], 3))
    network.setCut(region, { arePeersCut: true, isStoreCut: true })
    await patch(3)
    assert.ok(await waitForVersion(outside, 4))
    assert.ok(await waitForVersion(inside, 3))
    network.setCut(region, { arePeersCut: false, isStoreCut: false })
    assert.ok(await waitForVersion([...inside, ...outside], 4))
  } finally {
    await closing.close()
  }
})
