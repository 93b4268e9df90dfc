/** Building client blocks blocks the event loop only briefly at a time, and the table in use is always a complete one. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { IClock } from '@umberspar/base/common/clock'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import type { ClientBlockGroup } from '@umberspar/steering/common/lookup/clientBlocks'
import { ClientBlockBuilder } from '../../../src/node/callers/clientBlockBuilder.js'

const BLOCK_COUNT = 20_000
const ADDRESS = '10.1.2.3'

/** Advances one millisecond with each reading, so that each batch has a fixed number of slices. */
function createSteppingClock (): IClock {
  let now = 0
  return { now: () => now++, getWallTime: () => 0, schedule: () => ({ close: () => {} }) }
}

function buildGroups (name: string): ClientBlockGroup[] {
  const prefixes = Array.from({ length: BLOCK_COUNT }, (_, index) => `10.${index >> 8}.${index & 255}.0/24`)
  return [{ group: name, prefixes }]
}

/** An event loop whose turns are started by the test. */
class ManualEventLoop {
  private resume: (() => void) | undefined
  turns = 0

  readonly wait = (): Promise<void> => new Promise((resolve) => { this.resume = resolve })

  async runTurn (): Promise<boolean> {
    const { resume: goOn } = this
    if (goOn === undefined) return false
    this.resume = undefined
    this.turns++
    goOn()
    await new Promise((resolve) => { setImmediate(resolve) })
    return true
  }

  async runAll (): Promise<void> {
    while (await this.runTurn());
  }
}

describe('ClientBlockBuilder', () => {
  it('yields to the event loop between slices and keeps the previous table in use', async () => {
    // An operator adds client blocks to a large table. Built synchronously, it blocked
    // the daemon's event loop for two seconds: every caller waited, and peers received
    // no heartbeat and removed the node from look-ups.
    const loop = new ManualEventLoop()
    const builder = new ClientBlockBuilder(createSteppingClock(), NULL_LOGGER, loop.wait)
    builder.update(buildGroups('klang'))
    assert.equal(builder.isCurrent, false)
    await loop.runAll()
    assert.equal(builder.isCurrent, true)
    assert.ok(loop.turns >= 8, `${loop.turns} turns`)
    builder.update(buildGroups('penang'))
    while (await loop.runTurn()) {
      const expected: string = builder.isCurrent ? 'penang' : 'klang'
      assert.equal(builder.table.find(ADDRESS), expected)
    }
    assert.equal(builder.table.find(ADDRESS), 'penang')
  })

  it('builds a small table before it returns', () => {
    const builder = new ClientBlockBuilder({ ...createSteppingClock(), now: () => 0 }, NULL_LOGGER)
    builder.update([{ group: 'klang', prefixes: ['10.0.0.0/8'] }])
    assert.equal(builder.table.find(ADDRESS), 'klang')
  })

  it('ends with the most recent groups after several changes during a build', async () => {
    // Three changes come faster than a table is built. If the last one were lost,
    // callers would be assigned to wrong regions until the next change. If each change
    // aborted the running build, an outdated table would stay in use.
    const loop = new ManualEventLoop()
    const builder = new ClientBlockBuilder(createSteppingClock(), NULL_LOGGER, loop.wait)
    builder.update(buildGroups('klang'))
    await loop.runTurn()
    builder.update(buildGroups('penang'))
    builder.update(buildGroups('kuching'))
    await loop.runAll()
    assert.equal(builder.table.find(ADDRESS), 'kuching')
    assert.equal(builder.isCurrent, true)
  })

  it('stops at the next yield when it is closed', async () => {
    const loop = new ManualEventLoop()
    const builder = new ClientBlockBuilder(createSteppingClock(), NULL_LOGGER, loop.wait)
    builder.update(buildGroups('klang'))
    builder.close()
    await loop.runAll()
    assert.equal(loop.turns, 1)
    assert.equal(builder.table.size, 0)
  })
})
