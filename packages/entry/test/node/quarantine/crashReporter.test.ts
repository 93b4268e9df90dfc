import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { Ok } from '@umberspar/base/common/result'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import type { IRecordWriter } from '@umberspar/steering/common/ports/steeringSource'
import type { CrashReports } from '@umberspar/steering/common/quarantine/crashReport'
import { CrashReporter } from '../../../src/node/quarantine/crashReporter.js'

const QUARANTINE = { digest: 'a', service: 's', workerIds: ['w-1'], expiresAt: 1 }

function createReporter () {
  const clock = new ManualClock()
  const written: CrashReports[] = []
  const removed: string[] = []
  const writer: IRecordWriter = {
    putCrashReports: async (reports) => {
      written.push(reports)
      return Ok(1)
    },
    putQuarantine: async () => Ok(1),
    putMember: async () => Ok(1),
    putRateLimit: async () => Ok(1),
    remove: async ({ key }) => {
      removed.push(key)
      return Ok(1)
    }
  }
  const view = { crashReports: new Map(), quarantines: new Map() } as unknown as EntryView
  const reporter = new CrashReporter({ clock, logger: NULL_LOGGER, view, writer, node: 'vm-1', reportLifetimeMs: 60_000 })
  return { clock, written, removed, view, reporter }
}

describe('the crash reporter', () => {
  // Guards against reports that are never written because new ones keep arriving.
  it('writes reports while further ones arrive', async () => {
    const { clock, written, reporter } = createReporter()
    for (let index = 0; index < 10; index++) {
      reporter.addCrash({ digest: 'a', workerId: `w-${index}`, round: 1 })
      await clock.runFor(50)
    }
    assert.ok(written.length >= 3)
  })

  // Guards against removing a later quarantine of the same request because an earlier one was refuted.
  it('removes a quarantine once after an answer, not again when the request is quarantined once more', async () => {
    const { clock, removed, view, reporter } = createReporter()
    view.quarantines.set('a', { key: 'first', revision: 1, value: QUARANTINE })
    reporter.addAnswer({ digest: 'a', workerIds: ['w-1'] })
    await clock.runFor(200)
    view.quarantines.set('a', { key: 'second', revision: 2, value: QUARANTINE })
    reporter.addCrash({ digest: 'b', workerId: 'w-9', round: 1 })
    await clock.runFor(200)
    assert.deepEqual(removed, ['first'])
  })
})
