/** Tests that the parsers of addresses and prefixes agree with ipaddr.js, on valid texts and on nearly valid ones. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import ipaddr from 'ipaddr.js'
import { AddressFamily, parseAddress, parseIPv6, WORDS_PER_IPV6 } from '../../../src/common/lookup/addressWords.js'
import { formatPrefixKey, parseClientPrefix } from '../../../src/common/lookup/clientPrefix.js'

const SEED = 61_013

const groupArbitrary = fc.oneof(fc.constantFrom('0', '0000', 'ffff', 'FFFF', '1', '00a', '12345', '', 'g'), fc.integer({ min: 0, max: 0xffff }).map((value) => value.toString(16)))
/** Groups separated by one or two colons: every valid abbreviation and many invalid ones. */
const ipv6LikeArbitrary = fc.array(fc.tuple(groupArbitrary, fc.constantFrom(':', ':', ':', '::')), { minLength: 1, maxLength: 9 })
  .chain((parts) => fc.constantFrom('', '::', ':').map((start) => start + parts.map(([group, colon]) => group + colon).join('')))
  .chain((text) => fc.constantFrom(text, text.replace(/:+$/, ''), `${text}1.2.3.4`, `${text}%eth0`))
const hexIPv6Arbitrary = fc.ipV6().filter((text) => !text.includes('.'))
const ipv4LikeArbitrary = fc.array(fc.constantFrom('0', '9', '10', '255', '256', '01', '', '1234', 'x'), { minLength: 3, maxLength: 5 }).map((parts) => parts.join('.'))
const textArbitrary = fc.oneof(ipv6LikeArbitrary, hexIPv6Arbitrary, fc.ipV6(), ipv4LikeArbitrary, fc.ipV4(), fc.ipV4().map((text) => `::ffff:${text}`), fc.string())

function parseWithLibrary (text: string): { family: AddressFamily, bytes: number[] } | undefined {
  if (ipaddr.IPv4.isValidFourPartDecimal(text)) return { family: AddressFamily.IPv4, bytes: ipaddr.IPv4.parse(text).toByteArray() }
  if (!text.includes(':') || !ipaddr.IPv6.isValid(text)) return undefined
  const parsed = ipaddr.IPv6.parse(text)
  if (parsed.isIPv4MappedAddress()) return { family: AddressFamily.IPv4, bytes: parsed.toIPv4Address().toByteArray() }
  return { family: AddressFamily.IPv6, bytes: parsed.toByteArray() }
}

function listBytes (words: Uint32Array, count: number): number[] {
  return [...words.subarray(0, count)].flatMap((word) => [word >>> 24, (word >>> 16) & 255, (word >>> 8) & 255, word & 255])
}

describe('parseAddress', () => {
  it('accepts exactly the addresses that ipaddr.js accepts, with equal results', () => {
    const words = new Uint32Array(WORDS_PER_IPV6)
    let parsedCount = 0
    fc.assert(fc.property(textArbitrary, (text) => {
      const expected = parseWithLibrary(text)
      const family = parseAddress(text, words)
      assert.equal(family, expected?.family, text)
      if (expected === undefined) return
      parsedCount++
      assert.deepEqual(listBytes(words, family === AddressFamily.IPv4 ? 1 : WORDS_PER_IPV6), expected.bytes, text)
    }), { seed: SEED, numRuns: 20_000 })
    assert.ok(parsedCount > 5000, `only ${parsedCount} of the texts are addresses`)
  })

  it('parses an address within a longer text', () => {
    const words = new Uint32Array(WORDS_PER_IPV6)
    assert.ok(parseIPv6('x2001:db8::1/64', 1, 12, words))
    assert.deepEqual([...words], [0x2001_0db8, 0, 0, 1])
  })
})

describe('parseClientPrefix', () => {
  it('clears host bits as ipaddr.js does, and returns equal keys for equal prefixes', () => {
    const words = new Uint32Array(WORDS_PER_IPV6)
    const prefixes = fc.oneof(fc.tuple(fc.ipV4(), fc.integer({ min: 0, max: 33 })), fc.tuple(hexIPv6Arbitrary, fc.integer({ min: 0, max: 129 })))
    fc.assert(fc.property(prefixes, ([address, length]) => {
      const text = `${address}/${length}`
      const prefix = parseClientPrefix(text, words)
      const parsed = ipaddr.parse(address)
      const isValid = length <= (parsed.kind() === 'ipv4' ? 32 : 128)
      assert.equal(prefix !== undefined, isValid, text)
      if (prefix === undefined) return
      const library = parsed.kind() === 'ipv4' ? ipaddr.IPv4 : ipaddr.IPv6
      const network = library.networkAddressFromCIDR(text)
      const key = formatPrefixKey(prefix, words)
      const normalizedPrefix = parseClientPrefix(`${network.toNormalizedString()}/${length}`, words)
      assert.equal(normalizedPrefix === undefined ? '' : formatPrefixKey(normalizedPrefix, words), key)
      if (prefix.length !== length) return
      assert.deepEqual(listBytes(words, prefix.family === AddressFamily.IPv4 ? 1 : WORDS_PER_IPV6), network.toByteArray(), text)
    }), { seed: SEED, numRuns: 5000 })
  })

  it('rejects texts that are not prefixes', () => {
    const words = new Uint32Array(WORDS_PER_IPV6)
    for (const text of ['', '/8', '10.0.0.0', '10.0.0.0/', '10.0.0.0/x', '10.0.0.0/0008', '10.0/8', 'fe80::%eth0/64', '::0x1.2.3.4/128', '::/129']) {
      assert.equal(parseClientPrefix(text, words), undefined, text)
    }
  })
})
