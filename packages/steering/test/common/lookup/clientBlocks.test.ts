/** Tests that the table of client blocks agrees with a linear search for the longest matching prefix. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import ipaddr from 'ipaddr.js'
import type { ClientBlock } from '../../../src/common/lookup/clientBlocks.js'
import { ClientBlockTable, finishSlices } from '../../../src/common/lookup/clientBlocks.js'

const SEED = 20_252

function findLinearly (blocks: readonly ClientBlock[], address: string): string | undefined {
  const parsed = ipaddr.process(address)
  let longest = -1
  let group: string | undefined
  for (const block of blocks) {
    const [network, length] = ipaddr.parseCIDR(block.prefix)
    if (network.kind() !== parsed.kind() || length < longest || !parsed.match(network, length)) continue
    longest = length
    group = block.group
  }
  return group
}

/** Few distinct bytes, so that prefixes are often nested or adjacent, also at the ends of the address space. */
const byteArbitrary = fc.constantFrom(0, 1, 127, 128, 254, 255)
const ipv4Arbitrary = fc.array(byteArbitrary, { minLength: 4, maxLength: 4 }).map((bytes) => bytes.join('.'))
const ipv6Arbitrary = fc.array(fc.tuple(byteArbitrary, byteArbitrary), { minLength: 8, maxLength: 8 })
  .map((pairs) => pairs.map(([high, low]) => (high * 256 + low).toString(16)).join(':'))
const prefixArbitrary = fc.oneof(
  fc.tuple(ipv4Arbitrary, fc.integer({ min: 0, max: 32 })),
  fc.tuple(ipv6Arbitrary, fc.integer({ min: 0, max: 128 }))
).map(([address, length]) => `${address}/${length}`)
const blocksArbitrary = fc.array(fc.record({ prefix: prefixArbitrary, group: fc.constantFrom('a', 'b', 'c') }), { maxLength: 40 })

describe('ClientBlockTable', () => {
  it('finds the longest prefix', () => {
    const addresses = fc.array(fc.oneof(ipv4Arbitrary, ipv6Arbitrary), { minLength: 1, maxLength: 20 })
    fc.assert(fc.property(blocksArbitrary, addresses, (blocks, wanted) => {
      const table = ClientBlockTable.build(blocks)
      assert.equal(table.size, blocks.length)
      const networks = blocks.map((block) => block.prefix.split('/')[0] ?? '')
      for (const address of [...wanted, ...networks]) assert.equal(table.find(address), findLinearly(blocks, address), address)
    }), { seed: SEED, numRuns: 500 })
  })

  it('gives the same results when built in slices from the previous table', () => {
    const groupsArbitrary = fc.array(fc.array(prefixArbitrary, { maxLength: 8 }), { minLength: 3, maxLength: 3 })
    const addresses = fc.array(fc.oneof(ipv4Arbitrary, ipv6Arbitrary), { minLength: 1, maxLength: 10 })
    const changes = fc.array(fc.tuple(fc.nat({ max: 2 }), fc.array(prefixArbitrary, { maxLength: 8 })), { maxLength: 4 })
    fc.assert(fc.property(groupsArbitrary, changes, addresses, (first, later, wanted) => {
      let prefixes = first
      let table: ClientBlockTable | undefined
      for (const change of [undefined, ...later]) {
        if (change !== undefined) prefixes = prefixes.map((group, index) => index === change[0] ? change[1] : [...group])
        const groups = prefixes.map((group, index) => ({ group: String(index), prefixes: group }))
        table = finishSlices(ClientBlockTable.buildInSlices(groups, table))
        const blocks = groups.flatMap(({ group, prefixes: own }) => own.map((prefix) => ({ prefix, group })))
        assert.equal(table.size, blocks.length)
        const networks = blocks.map((block) => block.prefix.split('/')[0] ?? '')
        for (const address of [...wanted, ...networks]) assert.equal(table.find(address), findLinearly(blocks, address), address)
      }
    }), { seed: SEED, numRuns: 100 })
  })

  it('finds the right prefix among many with equal first 52 bits, and among many with different ones', () => {
    const buildBlock = (index: number): ClientBlock => ({ prefix: `2001:db8:0:${(index >> 12).toString(16)}::${(index & 0xfff).toString(16)}/128`, group: String(index % 7) })
    const table = ClientBlockTable.build(Array.from({ length: 20_000 }, (_, index) => buildBlock(index)))
    fc.assert(fc.property(fc.integer({ min: 0, max: 19_999 }), (index) => {
      const { prefix, group } = buildBlock(index)
      assert.equal(table.find(prefix.replace('/128', '')), group)
    }), { seed: SEED, numRuns: 1000 })
    assert.equal(table.find('2001:db8:0:4::fff'), undefined)
    assert.equal(table.find('2001:db7:ffff::'), undefined)
  })

  it('yields at least once in a few thousand operations', () => {
    const prefixes = Array.from({ length: 20_000 }, (_, index) => `10.${index >> 8}.${index & 255}.0/24`)
    const work = ClientBlockTable.buildInSlices([{ group: 'a', prefixes }])
    let slices = 0
    while (work.next().done !== true) slices++
    // 8 passes of 20,000 operations: parsing, counting three digits, moving by the two that differ, copying, and building the intervals.
    assert.ok(slices >= 8 * 4, `${slices} slices`)
  })

  it('treats IPv4-mapped addresses and prefixes as IPv4', () => {
    const table = ClientBlockTable.build([{ prefix: '10.0.0.0/8', group: 'a' }, { prefix: '::ffff:10.1.0.0/112', group: 'b' }])
    assert.equal(table.find('::ffff:10.2.3.4'), 'a')
    assert.equal(table.find('::FFFF:10.1.3.4'), 'b')
    assert.equal(table.find('::ffff:a01:304'), 'b')
  })

  it('finds nothing for invalid addresses', () => {
    const table = ClientBlockTable.build([{ prefix: '0.0.0.0/0', group: 'a' }, { prefix: '::/0', group: 'b' }])
    for (const text of ['', '1.2.3', '1.2.3.4.5', '1.2.3.256', '1..2.3', '1.2.3.', '0001.2.3.4', 'x', '1.2.3.4x', '::g', '::ffff:1.2.3']) {
      assert.equal(table.find(text), undefined, text)
    }
    assert.throws(() => ClientBlockTable.build([{ prefix: '10.0.0.0/33', group: 'a' }]), /CIDR/)
  })
})
