/** Building client blocks holds the loop for short stretches only, and the table in use is always a whole one. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { IClock } from '@umberspar/base/common/clock'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import type { ClientBlockGroup } from '@umberspar/steering/common/lookup/clientBlocks'
import { ClientBlockBuilder } from '../../../src/node/callers/clientBlockBuilder.js'

const BLOCKS = 20_000
const ADDRESS = '10.1.2.3'

/** Each reading is a millisecond later, so that a stretch has a fixed number of slices. */
function createSteppingClock (): IClock {
  let now = 0
  return { now: () => now++, getWallTime: () => 0, schedule: () => ({ close: () => {} }) }
}

function buildGroups (name: string): ClientBlockGroup[] {
  const prefixes = Array.from({ length: BLOCKS }, (_, index) => `10.${index >> 8}.${index & 255}.0/24`)
  return [{ group: name, prefixes }]
}

/** A loop of which each turn is begun by the test. */
class HeldLoop {
  private goOn: (() => void) | undefined
  turns = 0

  readonly wait = (): Promise<void> => new Promise((resolve) => { this.goOn = resolve })

  async runTurn (): Promise<boolean> {
    const { goOn } = this
    if (goOn === undefined) return false
    this.goOn = undefined
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
  it('lets the loop run between stretches and serves by the whole table before', async () => {
    // Story: an operator adds client blocks to a table of many. Built at one go,
    // it stopped the daemon's loop for two seconds: every caller waited, peers
    // heard no heartbeat and took the node out of look-ups.
    const loop = new HeldLoop()
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

  it('builds few blocks before it returns', () => {
    const builder = new ClientBlockBuilder({ ...createSteppingClock(), now: () => 0 }, NULL_LOGGER)
    builder.update([{ group: 'klang', prefixes: ['10.0.0.0/8'] }])
    assert.equal(builder.table.find(ADDRESS), 'klang')
  })

  it('ends with the groups set last, however they came in while it built', async () => {
    // Story: three changes come faster than a table is built. A caller that is
    // sent by the second one's blocks would stay in the wrong region until the
    // next change; were each build given up for the next, by the blocks of long ago.
    const loop = new HeldLoop()
    const builder = new ClientBlockBuilder(createSteppingClock(), NULL_LOGGER, loop.wait)
    builder.update(buildGroups('klang'))
    await loop.runTurn()
    builder.update(buildGroups('penang'))
    builder.update(buildGroups('kuching'))
    await loop.runAll()
    assert.equal(builder.table.find(ADDRESS), 'kuching')
    assert.equal(builder.isCurrent, true)
  })

  it('stops at the next stretch when it is closed', async () => {
    const loop = new HeldLoop()
    const builder = new ClientBlockBuilder(createSteppingClock(), NULL_LOGGER, loop.wait)
    builder.update(buildGroups('klang'))
    builder.close()
    await loop.runAll()
    assert.equal(loop.turns, 1)
    assert.equal(builder.table.size, 0)
  })
})
