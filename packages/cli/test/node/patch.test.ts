import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import { ExitCode } from '../../src/common/exitCode.js'
import { answerJson, applyChange, createStore, FakeDaemon, AdjustableClock, runCommandLine } from './fakeFleet.js'
import type { FakeStore } from './fakeFleet.js'

const openedDaemons: FakeDaemon[] = []

async function openDaemon (store: FakeStore): Promise<FakeDaemon> {
  const daemon = await new FakeDaemon(store).open()
  openedDaemons.push(daemon)
  return daemon
}

afterEach(async () => {
  for (const daemon of openedDaemons.splice(0)) await daemon.close()
})

function buildPatchLine (daemons: readonly string[], ...extraArguments: string[]): string[] {
  return ['config', 'patch', '--base', '7', '--set', 'lookupCacheMs=3000', ...daemons.flatMap((address) => ['--daemon', address]), ...extraArguments]
}

describe('config patch', () => {
  it('reports a stale base version with exit code 4, both versions and the conflicting paths', async () => {
    // The patch is made against version 7, but another operator's patch has just become
    // version 8. The daemon refuses it. The error must show the conflicting versions and
    // fields, and the patch must not be sent a second time.
    const daemon = await openDaemon(createStore(8, {}))
    const plain = await runCommandLine(buildPatchLine([daemon.address]))
    assert.equal(plain.exitCode, ExitCode.Conflict)
    assert.match(plain.errors, /made against version: 7/)
    assert.match(plain.errors, /current version: {6}8/)
    assert.match(plain.errors, /conflicting paths: {4}lookupCacheMs/)
    assert.match(plain.errors, /step send-patch, peer 127\.0\.0\.1:/)
    assert.equal(daemon.patches.length, 1)
    const json = await runCommandLine(buildPatchLine([daemon.address], '--json'))
    const { error } = JSON.parse(json.errors) as { error: Record<string, unknown> }
    assert.equal(json.output, '')
    assert.deepEqual([error.code, error.exitCode, error.baseVersion, error.currentVersion, error.conflictingPaths], ['conflict', 4, 7, 8, ['lookupCacheMs']])
  })

  it('finds out by the changeId at another daemon that a change took effect', async () => {
    // The daemon applies the patch and breaks the connection before it answers. If the
    // patch were sent again with a new id, it would be refused as stale and seem to have
    // failed. The history shows that it took effect.
    const store = createStore(7, {})
    const first = await openDaemon(store)
    const second = await openDaemon(store)
    first.override = (request, response, shared, received) => {
      if (received === undefined) return false
      applyChange(shared, received)
      applyChange(shared, { changeId: 'later', note: '', patch: {} })
      response.destroy()
      return true
    }
    const report = await runCommandLine(buildPatchLine([first.address, second.address], '--json'))
    assert.equal(report.exitCode, ExitCode.Ok)
    assert.deepEqual(JSON.parse(report.output), { version: 8, changeId: 'id-1', isSettledLater: true })
    assert.equal(first.patches.length, 1)
    assert.equal(second.patches.length, 0)
    assert.deepEqual(second.requestLines, ['GET /v1/config', 'GET /v1/config/history'])
  })

  it('reports a conflict after a lost answer when another change became the next version', async () => {
    // The connection breaks before the daemon writes the patch, and another operator's
    // change becomes version 8, so the patch against version 7 can never take effect.
    const daemon = await openDaemon(createStore(7, {}))
    daemon.override = (request, response, shared, received) => {
      if (received === undefined) return false
      applyChange(shared, { changeId: 'colleague', note: '', patch: {} })
      response.destroy()
      return true
    }
    const report = await runCommandLine(buildPatchLine([daemon.address]))
    assert.equal(report.exitCode, ExitCode.Conflict)
    assert.match(report.errors, /id-1 did not take effect: another change became version 8/)
    assert.equal(daemon.patches.length, 1)
  })

  it('ends with exit code 6 and the changeId when the outcome remains unknown', async () => {
    // The daemon gets no answer from the store and reports an unknown outcome. Until the
    // deadline, no daemon shows a version newer than the base version.
    const daemon = await openDaemon(createStore(7, {}))
    const clock = new AdjustableClock()
    daemon.override = (request, response, shared, received) => {
      if (daemon.requestLines.length === 7) clock.setPastAllDeadlines()
      if (received === undefined) return false
      answerJson(response, 504, { title: 'effect-unknown', detail: 'the store gave no answer', outcome: 'unknown' })
      return true
    }
    const report = await runCommandLine(buildPatchLine([daemon.address]), {}, clock)
    assert.equal(report.exitCode, ExitCode.EffectUnknown)
    assert.match(report.errors, /change id-1 against version 7 may or may not have taken effect/)
    assert.equal(daemon.patches.length, 1)
  })

  it('tries the next daemon with the same changeId only after a failure that had no effect', async () => {
    // The first daemon is down, and the second can't reach the store and answers not-run.
    // Neither had an effect, so the change may be sent to the third.
    const store = createStore(7, {})
    const down = await new FakeDaemon(store).open()
    await down.close()
    const disconnected = await openDaemon(store)
    disconnected.override = (request, response) => {
      answerJson(response, 503, { title: 'unavailable', detail: 'the store is out of reach', outcome: 'not-run' })
      return true
    }
    const third = await openDaemon(store)
    const report = await runCommandLine(['config', 'patch', '--base', '7', '--set', 'lookupCacheMs=3000'], { UMBERSPAR_DAEMONS: `${down.address}, ${disconnected.address},${third.address}` })
    assert.equal(report.exitCode, ExitCode.Ok)
    assert.equal(report.output, 'accepted as version 8, change id-1')
    assert.deepEqual(third.patches, [{ baseVersion: 7, changeId: 'id-1', patch: { lookupCacheMs: 3000 }, note: '' }])
    const unreachableReport = await runCommandLine(['status', '--daemon', down.address, '--json'])
    assert.equal(unreachableReport.exitCode, ExitCode.Unreachable)
    assert.equal((JSON.parse(unreachableReport.errors) as { error: { peer: string } }).error.peer, down.address)
  })
})

describe('drain', () => {
  it('keeps the other drain when two operators drain at the same time', async () => {
    // Two operators drain different failure domains at the same time. The later patch
    // contains the whole array of version 7. If it were sent again unchanged against
    // version 8, it would silently remove the other operator's drain.
    const store = createStore(7, { drains: { failureDomains: ['klang-a'] } })
    const daemon = await openDaemon(store)
    let hasConflicted = false
    daemon.override = (request, response, shared, received) => {
      if (received === undefined || hasConflicted) return false
      hasConflicted = true
      applyChange(shared, { changeId: 'colleague', note: '', patch: { drains: { failureDomains: ['klang-a', 'penang-a'] } } })
      return false
    }
    const report = await runCommandLine(['drain', 'failure-domain', 'penang-b', '--daemon', daemon.address, '--json'])
    assert.equal(report.exitCode, ExitCode.Ok)
    assert.deepEqual(store.body.drains, { failureDomains: ['klang-a', 'penang-a', 'penang-b'] })
    assert.deepEqual(daemon.patches.map((patch) => [patch.baseVersion, patch.changeId]), [[7, 'id-1'], [8, 'id-2']])
    const repeatReport = await runCommandLine(['drain', 'failure-domain', 'penang-b', '--daemon', daemon.address, '--json'])
    assert.deepEqual(JSON.parse(repeatReport.output), { direction: 'drain', kind: 'failure-domain', target: 'penang-b', version: 9, isChanged: false })
  })

  it('reports the conflict after a limited number of attempts', async () => {
    const daemon = await openDaemon(createStore(7, {}))
    daemon.override = (request, response, shared, received) => {
      if (received !== undefined) applyChange(shared, { changeId: `colleague-${shared.version}`, note: '', patch: {} })
      return false
    }
    const report = await runCommandLine(['undrain', 'place', 'billing-svc', 'klang-a', '--daemon', daemon.address])
    assert.equal(report.exitCode, ExitCode.Ok)
    const conflictReport = await runCommandLine(['drain', 'place', 'billing-svc', 'klang-a', '--daemon', daemon.address])
    assert.equal(conflictReport.exitCode, ExitCode.Conflict)
    assert.equal(daemon.patches.length, 5)
    assert.deepEqual(daemon.patches[0]?.patch, { drains: { places: [{ service: 'billing-svc', failureDomain: 'klang-a' }] } })
  })
})
