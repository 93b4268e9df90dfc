/** The table of client blocks agrees with a linear longest match over all prefixes. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import ipaddr from 'ipaddr.js'
import type { ClientBlock } from '../../../src/common/lookup/clientBlocks.js'
import { ClientBlockTable } from '../../../src/common/lookup/clientBlocks.js'

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

/** Few distinct bytes, so that prefixes nest and touch often, at the ends of the address space too. */
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

  it('reads IPv4-mapped addresses and prefixes as IPv4', () => {
    const table = ClientBlockTable.build([{ prefix: '10.0.0.0/8', group: 'a' }, { prefix: '::ffff:10.1.0.0/112', group: 'b' }])
    assert.equal(table.find('::ffff:10.2.3.4'), 'a')
    assert.equal(table.find('::FFFF:10.1.3.4'), 'b')
    assert.equal(table.find('::ffff:a01:304'), 'b')
  })

  it('finds nothing for what is no address', () => {
    const table = ClientBlockTable.build([{ prefix: '0.0.0.0/0', group: 'a' }, { prefix: '::/0', group: 'b' }])
    for (const text of ['', '1.2.3', '1.2.3.4.5', '1.2.3.256', '1..2.3', '1.2.3.', '0001.2.3.4', 'x', '1.2.3.4x', '::g', '::ffff:1.2.3']) {
      assert.equal(table.find(text), undefined, text)
    }
    assert.throws(() => ClientBlockTable.build([{ prefix: '10.0.0.0/33', group: 'a' }]), /CIDR/)
  })
})
