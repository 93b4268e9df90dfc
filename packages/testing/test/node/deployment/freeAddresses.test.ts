import assert from 'node:assert/strict'
import { it } from 'node:test'
import { findFreeAddresses } from '../../../src/node/deployment/freeAddresses.js'

const CALLS = 500
const ADDRESSES_PER_CALL = 3

// Guards against two processes that get the same port because the first one does not listen there yet.
it('never finds an address twice, also while nobody listens there', { timeout: 60_000 }, async () => {
  const found = new Set<string>()
  for (let call = 0; call < CALLS; call++) {
    for (const address of await findFreeAddresses('127.20.2.1', ADDRESSES_PER_CALL)) found.add(address)
  }
  assert.equal(found.size, CALLS * ADDRESSES_PER_CALL)
})
