/** Real daemons in one process, and a platform whose store fails, lags, cuts watches and goes back in time. */
import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import { createDeadline } from '@umberspar/base/common/deadline'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import { SeededRandom } from '@umberspar/base/common/random'
import { createDaemon, type Daemon } from '@umberspar/daemon/node/daemon'
import { request } from 'undici'
import { DeploymentName } from '../../../src/common/load/mixes.js'
import { LocalDeployment } from '../../../src/node/deployment/localDeployment.js'
import { waitForCondition } from '../../../src/node/load/polling.js'

const ENTRIES = 6
/** Two in each of three regions. */
/** Two nodes of each of three regions, each with one watch on the configuration and one on the plans. */
const WATCHES = 3 * 2 * 2
const LONG_MS = 60_000
const POLL_MS = 20
const opened: Array<{ close: () => Promise<void> }> = []

afterEach(async () => {
  for (const one of opened.splice(0).reverse()) await one.close()
})

async function startDeployment (entries = ENTRIES): Promise<LocalDeployment> {
  const deployment = await LocalDeployment.start({ deployment: DeploymentName.Teratai, seed: 7, entries, vmListLagSpanMs: 0 })
  opened.push(deployment)
  assert.ok(await deployment.waitUntilReady(LONG_MS))
  return deployment
}

async function patch (deployment: LocalDeployment, baseVersion: number, entry = 0): Promise<number> {
  const address = deployment.listOperatorAddresses()[entry] ?? ''
  const call = { baseVersion, changeId: `change-${baseVersion}-${entry}`, patch: { lookupCacheMs: 1000 + baseVersion }, note: '' }
  const answer = await deployment.operators.patch(address, call)
  assert.equal(answer.status, 200, answer.text)
  return answer.version ?? 0
}

function waitForVersion (deployment: LocalDeployment, version: number, addresses = deployment.listOperatorAddresses()): Promise<boolean> {
  return waitForCondition(deployment.clock, createDeadline(deployment.clock.now(), LONG_MS), POLL_MS, async () => {
    const versions = await Promise.all(addresses.map((address) => deployment.operators.readVersion(address)))
    return versions.every((one) => one === version)
  })
}

async function startAnew (deployment: LocalDeployment, index: number): Promise<Daemon> {
  const entry = deployment.entries[index]
  assert.ok(entry !== undefined)
  await entry.daemon.close()
  const daemon = createDaemon(entry.settings, { logger: NULL_LOGGER, clock: deployment.clock, random: new SeededRandom(99) })
  opened.push(daemon)
  assert.ok((await daemon.start()).ok)
  return daemon
}

/** A node that starts also waits for its part of the limits, which others must shrink first. */
function waitForReady (deployment: LocalDeployment, daemon: Daemon): Promise<boolean> {
  return waitForCondition(deployment.clock, createDeadline(deployment.clock.now(), LONG_MS), POLL_MS, () => daemon.isReady())
}

async function readReadiness (deployment: LocalDeployment, index: number): Promise<{ isReady: boolean, reason: string }> {
  const response = await request(`http://${deployment.listOperatorAddresses()[index]}/readyz`)
  return await response.body.json() as { isReady: boolean, reason: string }
}

describe('spread with a store that fails', () => {
  it('two nodes of each region watch, and a patch reaches all of them though every watch is cut', async () => {
    const deployment = await startDeployment(12)
    const { store } = deployment.platform
    const isBounded = (): boolean => store.getCallCounts().waitingWatches === WATCHES
    assert.ok(await waitForCondition(deployment.clock, createDeadline(deployment.clock.now(), LONG_MS), POLL_MS, isBounded))
    store.setFault({ watchLagSpanMs: LONG_MS })
    assert.equal(await patch(deployment, 1), 2)
    assert.ok(await waitForVersion(deployment, 2))
    store.closeWatches()
    store.deleteHistory()
    assert.equal(await patch(deployment, 2, 1), 3)
    assert.ok(await waitForVersion(deployment, 3))
  })

  it('a node that starts while the store is down takes the configuration from peers', async () => {
    // The store has an outage and a VM is replaced. Its daemon must come up with
    // what is in force, not wait for the store.
    const deployment = await startDeployment()
    await patch(deployment, 1)
    assert.ok(await waitForVersion(deployment, 2))
    deployment.platform.store.setFault({ isDown: true })
    const daemon = await startAnew(deployment, 2)
    assert.equal(await deployment.operators.readVersion(deployment.listOperatorAddresses()[2] ?? ''), 2)
    assert.ok(await waitForReady(deployment, daemon))
  })

  it('all start at once with the store down: none is ready, each says why, and all recover', async () => {
    const deployment = await startDeployment()
    const { store } = deployment.platform
    store.setFault({ isDown: true })
    for (const { daemon } of deployment.entries) await daemon.close()
    const restarted = await Promise.all(deployment.entries.map((_, index) => startAnew(deployment, index)))
    assert.deepEqual(restarted.map((daemon) => daemon.isReady()), restarted.map(() => false))
    const { isReady, reason } = await readReadiness(deployment, 0)
    assert.equal(isReady, false)
    assert.match(reason, /no configuration yet: the store does not answer/)
    store.clearFaults()
    assert.ok(await waitForCondition(deployment.clock, createDeadline(deployment.clock.now(), LONG_MS), POLL_MS, () => restarted.every((daemon) => daemon.isReady())))
  })

  it('a store restored from an old state lowers nobody, is written back, and the next patch gets a new number', async () => {
    // The store's operators restore yesterday's backup. A fleet that followed it
    // would undo a day of changes; a second version 2 would split the fleet.
    const deployment = await startDeployment()
    const { store } = deployment.platform
    const backup = store.saveState()
    await patch(deployment, 1)
    await patch(deployment, 2)
    assert.ok(await waitForVersion(deployment, 3))
    store.loadState(backup)
    const isWrittenBack = (): boolean => store.saveState().keys.keys.some(({ key, value }) => key.toString().endsWith('config/head') && value.toString().includes('"version":3'))
    assert.ok(await waitForCondition(deployment.clock, createDeadline(deployment.clock.now(), LONG_MS), POLL_MS, isWrittenBack))
    const restarted = await startAnew(deployment, 4)
    assert.equal(await deployment.operators.readVersion(deployment.listOperatorAddresses()[4] ?? ''), 3)
    assert.ok(await waitForReady(deployment, restarted))
    assert.ok(await waitForVersion(deployment, 3))
    assert.equal(await patch(deployment, 3), 4)
    assert.ok(await waitForVersion(deployment, 4))
  })

  it('an empty VM list takes nobody out of the fleet', async () => {
    const deployment = await startDeployment()
    deployment.platform.vmList.setFaults({ isEmpty: true })
    const reads = deployment.platform.vmList.countReads()
    assert.ok(await waitForCondition(deployment.clock, createDeadline(deployment.clock.now(), LONG_MS), POLL_MS, () => deployment.platform.vmList.countReads() > reads + 3 * ENTRIES))
    const counts = await Promise.all(deployment.listOperatorAddresses().map((address) => deployment.operators.countLive(address)))
    assert.deepEqual(counts, counts.map(() => ENTRIES))
  })
})
