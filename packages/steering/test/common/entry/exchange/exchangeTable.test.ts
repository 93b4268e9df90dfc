import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { type ExchangeRow, ExchangeTopic, ROW_LIFETIME_MS } from '../../../../src/common/entry/exchange/exchangeRow.js'
import { ExchangeTable, RowOrigin } from '../../../../src/common/entry/exchange/exchangeTable.js'

const ALL = new Set(Object.values(RowOrigin))

function createRow (key: string, at: number, content = at): ExchangeRow {
  return { topic: ExchangeTopic.WorkerLoad, key, content, at }
}

describe('the rows of the exchange', () => {
  // Guards against an older row that arrives by a slower way and replaces a newer one.
  it('keep the newest row of each key, in whatever order rows arrive', () => {
    const rowsArbitrary = fc.array(fc.record({ key: fc.constantFrom('a', 'b', 'c'), at: fc.integer({ min: 0, max: 50 }) }), { maxLength: 40 })
    fc.assert(fc.property(rowsArbitrary, (rows) => {
      const table = new ExchangeTable()
      for (const { key, at } of rows) table.put(createRow(key, at * 10), RowOrigin.Domain)
      const newest = new Map<string, number>()
      for (const { key, at } of rows) newest.set(key, Math.max(newest.get(key) ?? 0, at * 10))
      assert.deepEqual(new Map([...table.listRows(ExchangeTopic.WorkerLoad)].map(({ key, at }) => [key, at])), newest)
    }), { seed: 1 })
  })

  it('are listed once for each destination', () => {
    const table = new ExchangeTable()
    table.put(createRow('a', 0), RowOrigin.Domain)
    table.put(createRow('b', 0), RowOrigin.Domain)
    const { sequence } = table
    table.put(createRow('a', 100), RowOrigin.Domain)
    assert.deepEqual(table.listAfter(sequence, ALL).map(({ row }) => row.key), ['a'])
    assert.deepEqual(table.listAfter(table.sequence, ALL), [])
  })

  // Guards against a row that neither relay passes on, since each has it from the other one first.
  it('are passed on by a relay although the other relay was faster', () => {
    const table = new ExchangeTable()
    table.put(createRow('a', 100), RowOrigin.Relay)
    const { sequence } = table
    assert.equal(table.put(createRow('a', 100), RowOrigin.Domain), false)
    assert.deepEqual(table.listAfter(sequence, new Set([RowOrigin.Domain])).map(({ row }) => row.key), ['a'])
  })

  it('are removed when nobody renews them', () => {
    const table = new ExchangeTable()
    table.put(createRow('a', 0), RowOrigin.Own)
    table.put(createRow('b', ROW_LIFETIME_MS), RowOrigin.Own)
    table.removeExpired(ROW_LIFETIME_MS + 1)
    assert.deepEqual(table.listAfter(0, ALL).map(({ row }) => row.key), ['b'])
  })

  // Guards against a VM that hears nobody and shows its own rows as knowledge of others.
  it('are counted as received if another VM wrote them', () => {
    const table = new ExchangeTable()
    table.put(createRow('a', 0), RowOrigin.Own)
    assert.equal(table.countReceived(), 0)
    table.put(createRow('b', 0), RowOrigin.Relay)
    table.put(createRow('c', 0), RowOrigin.Domain)
    assert.equal(table.countReceived(), 2)
  })
})
