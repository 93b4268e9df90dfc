import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ConnectionMemory, type MemoryHolder } from '../../../src/node/http/connectionMemory.js'

class Holder implements MemoryHolder {
  isClosed = false
  isReleased = false

  closeForMemory (): void {
    this.isClosed = true
  }

  handleMemoryReleased (): void {
    this.isReleased = true
  }
}

describe('the memory of all connections', () => {
  it('is kept below its limit by closing those that hold most', () => {
    const memory = new ConnectionMemory(1_000)
    const holders = Array.from({ length: 4 }, () => new Holder())
    for (const [index, holder] of holders.entries()) memory.update(holder, 100 * (index + 1))
    assert.ok(holders.every(({ isClosed }) => !isClosed))
    memory.update(holders[0]!, 350)
    assert.deepEqual(holders.map(({ isClosed }) => isClosed), [false, false, false, true])
    assert.equal(memory.heldBytes, 850)
  })

  it('lets small heads in beside large ones, and the large ones when memory was released', () => {
    const memory = new ConnectionMemory(1_000)
    const [first, second] = [new Holder(), new Holder()]
    assert.equal(memory.mayAdd(first, 125), true)
    memory.update(first, 600)
    assert.equal(memory.mayAdd(second, 125), false)
    assert.equal(memory.mayAdd(second, 50), true)
    memory.remove(first)
    assert.equal(second.isReleased, true)
    assert.equal(memory.heldBytes, 0)
  })
})
