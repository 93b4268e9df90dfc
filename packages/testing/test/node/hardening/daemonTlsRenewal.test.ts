import assert from 'node:assert/strict'
import { writeFile } from 'node:fs/promises'
import { test } from 'node:test'
import { CloseStack } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { LogLevel, NULL_LOGGER } from '@umberspar/base/common/logger'
import { SeededRandom } from '@umberspar/base/common/random'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { DaemonTls, TlsSide } from '@umberspar/daemon/node/tls/daemonTls'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { DeploymentName } from '../../../src/common/load/mixes.js'
import { loadDeploymentFiles } from '../../../src/node/deployment/deploymentFiles.js'
import { waitForCondition } from '../../../src/node/load/polling.js'
import { CertificateFiles, TestAuthority } from '../../../src/node/tls/testCertificates.js'

const REREAD_MS = 10_000
const WAIT_MS = 20_000
const POLL_MS = 5
const system = new SystemClock()

// Certificates are renewed every 90 days by a job that tells nobody. A daemon that
// read them only at its start would go on with the old one until it ends, and then
// every caller and every peer refuses it at once. A broken file on the way must
// not stop the reading.
test('files are read again after each interval, after a broken one too, until the daemon closes', async () => {
  const closing = new CloseStack()
  try {
    const clock = new ManualClock(0, system.getWallTime())
    const authority = await TestAuthority.create('ca')
    const files = closing.add(await CertificateFiles.write(await authority.createKey({ name: 'one' }), authority))
    const { settings: [settings] } = await loadDeploymentFiles(DeploymentName.Guild, 1, LogLevel.Error)
    const callers = { ...settings!.callers, tls: { certificate: files.certificate, key: files.key } }
    const loaded = await DaemonTls.load({ settings: { ...settings!, callers, certificateRereadMs: REREAD_MS }, clock, random: new SeededRandom(1), logger: NULL_LOGGER })
    assert.ok(loaded.ok)
    const tls = closing.add(loaded.val)
    const certificateProvider = tls.get(TlsSide.Callers)!
    assert.equal(tls.get(TlsSide.Peers), undefined)
    const waitForRead = (isDone: () => boolean): Promise<boolean> => waitForCondition(system, createDeadline(system.now(), WAIT_MS), POLL_MS, isDone)
    const first = String(certificateProvider.current.certificate)
    const renewed = await authority.createKey({ name: 'two' })
    await writeFile(files.certificate, renewed.certificate)
    clock.stepBy(2 * REREAD_MS)
    assert.ok(await waitForRead(() => clock.countPendingTimers() === 1), 'the next read is scheduled after the broken one')
    assert.equal(String(certificateProvider.current.certificate), first)
    await writeFile(files.key, renewed.key)
    clock.stepBy(2 * REREAD_MS)
    assert.ok(await waitForRead(() => String(certificateProvider.current.certificate) !== first))
    assert.equal(String(certificateProvider.current.key), renewed.key)
    assert.ok(await waitForRead(() => clock.countPendingTimers() === 1))
    tls.close()
    assert.equal(clock.countPendingTimers(), 0)
  } finally {
    await closing.close()
  }
})
