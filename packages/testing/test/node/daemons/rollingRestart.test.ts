/** Entry VMs replaced one after the other under callers that cache look-ups. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { CloseStack } from '@umberspar/base/common/closing'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import { createDaemon } from '@umberspar/daemon/node/daemon'
import { VmState } from '@umberspar/steering/common/ports/vmList'
import { checkHistory } from '../../../src/common/history/historyChecker.js'
import { AnswerKind, HistoryEventKind } from '../../../src/common/history/historyEvent.js'
import { DeploymentName, MIX_BY_DEPLOYMENT } from '../../../src/common/load/mixes.js'
import { LocalDeployment } from '../../../src/node/deployment/localDeployment.js'
import { LoopClock } from '../../../src/node/loopClock.js'
import { RegionalLoad } from '../../../src/node/load/regionalLoad.js'
import { waitForCondition } from '../../../src/node/load/polling.js'
import { waitUntil } from '../../../src/node/waiting.js'
import { createDeadline } from '@umberspar/base/common/deadline'

const SEED = 11
const ENTRIES = 6
const RATE_PER_SECOND = 90
const READY_WITHIN_MS = 20_000
const OPERATIONS_BETWEEN = 180
const REPLACEMENT_MS = 2500

async function startAnew (deployment: LocalDeployment, index: number, closing: CloseStack): Promise<void> {
  const { clock, history } = deployment
  const { settings, daemon } = deployment.entries[index]!
  const targets = [settings.callers.address]
  history.record({ kind: HistoryEventKind.StopStarted, at: clock.now(), targets })
  const { cutRequests } = await daemon.stop()
  history.record({ kind: HistoryEventKind.StopEnded, at: clock.now(), targets })
  assert.equal(cutRequests, 0)
  // A VM's replacement is not there at once; whoever is still sent to it finds nobody.
  await waitUntil(clock, clock.now() + REPLACEMENT_MS)
  const next = closing.add(createDaemon(settings, { logger: NULL_LOGGER, clock }))
  deployment.entries[index] = { settings, daemon: next }
  assert.ok((await next.start()).ok)
  assert.ok(await waitForCondition(clock, createDeadline(clock.now(), READY_WITHIN_MS), 20, () => next.isReady()))
}

describe('entry VMs that are replaced', () => {
  // A release is rolled out: each entry VM is stopped and started anew. Callers hold
  // look-ups that name it, and keep connections to it open. Closed too early, their
  // next requests fail: a parent at the desk sees an error although all is well.
  it('cut no request of callers that cache look-ups, and fail none', async () => {
    const closing = new CloseStack()
    const clock = closing.add(new LoopClock())
    const deployment = closing.add(await LocalDeployment.start({ deployment: DeploymentName.Teratai, seed: SEED, entries: ENTRIES, vmListLagSpanMs: 0, clock }))
    try {
      const { configuration, history, platform } = deployment
      assert.ok(await deployment.waitUntilReady(READY_WITHIN_MS))
      let isOver = false
      const load = closing.add(new RegionalLoad({
        clock,
        seed: SEED,
        configuration,
        mixes: MIX_BY_DEPLOYMENT[DeploymentName.Teratai],
        bootstrapAddresses: deployment.listCallerAddresses(),
        ratePerSecond: RATE_PER_SECOND,
        // More than any machine gets through before the last step, which ends the load.
        quota: 5000,
        startUntil: Infinity,
        isStopped: () => isOver,
        history
      }))
      const running = load.run()
      // One region's first entry VM, then another's second; the third is only announced by the platform.
      for (const index of [0, 4]) {
        // Enough requests for every caller to hold look-ups that name this entry VM.
        const enough = load.countEnded() + OPERATIONS_BETWEEN
        assert.ok(await waitForCondition(clock, createDeadline(clock.now(), READY_WITHIN_MS), 20, () => load.countEnded() >= enough))
        await startAnew(deployment, index, closing)
      }
      const listed = deployment.entries[2]!
      platform.vmList.setVmState(listed.settings.nodeId, VmState.Leaving)
      assert.ok(await waitForCondition(clock, createDeadline(clock.now(), READY_WITHIN_MS), 20, () => !listed.daemon.isReady()))
      platform.vmList.setVmState(listed.settings.nodeId, VmState.Live)
      assert.ok(await waitForCondition(clock, createDeadline(clock.now(), READY_WITHIN_MS), 20, () => listed.daemon.isReady()))
      isOver = true
      await running
      assert.deepEqual(checkHistory(history.events), [])
      const failed = history.events.filter((event) => event.kind === HistoryEventKind.Answered && event.answer !== AnswerKind.Complete && event.answer !== AnswerKind.NotRun)
      assert.deepEqual(failed, [])
    } finally {
      await closing.close()
    }
  })
})
