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
  it('reports a stale base with exit code 4, both versions and the paths', async () => {
    // An operator patches version 7 while a colleague's patch has just made 8.
    // The daemon refuses; the operator must see which versions and fields clash,
    // and nothing may be sent a second time.
    const daemon = await openDaemon(createStore(8, {}))
    const plain = await runCommandLine(buildPatchLine([daemon.address]))
    assert.equal(plain.exitCode, ExitCode.Conflict)
    assert.match(plain.errors, /made against version: 7/)
    assert.match(plain.errors, /present version: {6}8/)
    assert.match(plain.errors, /conflicting paths: {4}lookupCacheMs/)
    assert.match(plain.errors, /step send-patch, peer 127\.0\.0\.1:/)
    assert.equal(daemon.patches.length, 1)
    const json = await runCommandLine(buildPatchLine([daemon.address], '--json'))
    const { error } = JSON.parse(json.errors) as { error: Record<string, unknown> }
    assert.equal(json.output, '')
    assert.deepEqual([error.code, error.exitCode, error.baseVersion, error.currentVersion, error.conflictingPaths], ['conflict', 4, 7, 8, ['lookupCacheMs']])
  })

  it('settles a lost answer by the changeId at another daemon', async () => {
    // The daemon applies the patch and dies before it answers. The operator sees
    // a broken connection. Sent again under a new id, the patch would be refused
    // as stale and look as if it had failed; the history says that it took effect.
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

  it('settles a lost answer as a conflict when another change became the next version', async () => {
    // The connection breaks before the daemon writes, and a colleague's change
    // becomes version 8: the patch against 7 can never take effect any more.
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

  it('ends with exit code 6 and the changeId when nothing settles a lost answer', async () => {
    // The daemon loses the store's answer and says that the outcome is unknown;
    // no daemon shows a version beyond the base until the deadline.
    const daemon = await openDaemon(createStore(7, {}))
    const clock = new AdjustableClock()
    daemon.override = (request, response, shared, received) => {
      if (daemon.requestLines.length === 7) clock.setPastDeadlines()
      if (received === undefined) return false
      answerJson(response, 504, { title: 'effect-unknown', detail: 'the store gave no answer', outcome: 'unknown' })
      return true
    }
    const report = await runCommandLine(buildPatchLine([daemon.address]), {}, clock)
    assert.equal(report.exitCode, ExitCode.EffectUnknown)
    assert.match(report.errors, /change id-1 against version 7 may or may not have taken effect/)
    assert.equal(daemon.patches.length, 1)
  })

  it('goes on to the next daemon with the same changeId only after a proven not-run', async () => {
    // The first daemon is down and the second has lost the store; both say so
    // before any effect, so the third may be given the same change.
    const store = createStore(7, {})
    const down = await new FakeDaemon(store).open()
    await down.close()
    const cut = await openDaemon(store)
    cut.override = (request, response) => {
      answerJson(response, 503, { title: 'unavailable', detail: 'the store is out of reach', outcome: 'not-run' })
      return true
    }
    const third = await openDaemon(store)
    const report = await runCommandLine(['config', 'patch', '--base', '7', '--set', 'lookupCacheMs=3000'], { UMBERSPAR_DAEMONS: `${down.address}, ${cut.address},${third.address}` })
    assert.equal(report.exitCode, ExitCode.Ok)
    assert.equal(report.output, 'accepted as version 8, change id-1')
    assert.deepEqual(third.patches, [{ baseVersion: 7, changeId: 'id-1', patch: { lookupCacheMs: 3000 }, note: '' }])
    const none = await runCommandLine(['status', '--daemon', down.address, '--json'])
    assert.equal(none.exitCode, ExitCode.Unreachable)
    assert.equal((JSON.parse(none.errors) as { error: { peer: string } }).error.peer, down.address)
  })
})

describe('drain', () => {
  it('adds its element to the new version when a colleague drains at the same time', async () => {
    // Two operators drain two domains at once. The slower one's patch holds the
    // whole array of version 7; re-sent as it is against version 8 it would
    // silently undo the colleague's drain.
    const store = createStore(7, { drains: { failureDomains: ['klang-a'] } })
    const daemon = await openDaemon(store)
    let isRaced = false
    daemon.override = (request, response, shared, received) => {
      if (received === undefined || isRaced) return false
      isRaced = true
      applyChange(shared, { changeId: 'colleague', note: '', patch: { drains: { failureDomains: ['klang-a', 'penang-a'] } } })
      return false
    }
    const report = await runCommandLine(['drain', 'failure-domain', 'penang-b', '--daemon', daemon.address, '--json'])
    assert.equal(report.exitCode, ExitCode.Ok)
    assert.deepEqual(store.body.drains, { failureDomains: ['klang-a', 'penang-a', 'penang-b'] })
    assert.deepEqual(daemon.patches.map((patch) => [patch.baseVersion, patch.changeId]), [[7, 'id-1'], [8, 'id-2']])
    const again = await runCommandLine(['drain', 'failure-domain', 'penang-b', '--daemon', daemon.address, '--json'])
    assert.deepEqual(JSON.parse(again.output), { direction: 'drain', kind: 'failure-domain', target: 'penang-b', version: 9, isChanged: false })
  })

  it('gives up with the conflict after a bounded number of races', async () => {
    const daemon = await openDaemon(createStore(7, {}))
    daemon.override = (request, response, shared, received) => {
      if (received !== undefined) applyChange(shared, { changeId: `colleague-${shared.version}`, note: '', patch: {} })
      return false
    }
    const report = await runCommandLine(['undrain', 'place', 'billing-svc', 'klang-a', '--daemon', daemon.address])
    assert.equal(report.exitCode, ExitCode.Ok)
    const raced = await runCommandLine(['drain', 'place', 'billing-svc', 'klang-a', '--daemon', daemon.address])
    assert.equal(raced.exitCode, ExitCode.Conflict)
    assert.equal(daemon.patches.length, 5)
    assert.deepEqual(daemon.patches[0]?.patch, { drains: { places: [{ service: 'billing-svc', failureDomain: 'klang-a' }] } })
  })
})
