import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ConnectionLimit, type LimitedConnection } from '../../../src/node/http/connectionLimit.js'

class Connection implements LimitedConnection {
  isClosed = false

  closeForLimit (): void {
    this.isClosed = true
  }
}

describe('the limit on connections', () => {
  it('closes the connection that has been idle longest, and none with requests in flight', () => {
    let closed = 0
    const limit = new ConnectionLimit(3, () => { closed++ })
    const [busy, idle, idleLater, added, refused] = Array.from({ length: 5 }, () => new Connection()) as [Connection, Connection, Connection, Connection, Connection]
    for (const connection of [busy, idle, idleLater]) assert.equal(limit.add(connection), true)
    for (const connection of [busy, idleLater, idle]) limit.setBusy(connection, true)
    limit.setBusy(idle, false)
    limit.setBusy(idleLater, false)
    assert.equal(limit.add(added), true)
    assert.deepEqual([busy, idle, idleLater, added].map(({ isClosed }) => isClosed), [false, true, false, false])
    limit.setBusy(idleLater, true)
    limit.setBusy(added, true)
    assert.equal(limit.add(refused), false)
    limit.remove(added)
    assert.equal(limit.add(refused), true)
    assert.equal(closed, 2)
  })
})
