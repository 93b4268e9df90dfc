import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { type DigestedRequest, RequestDigest } from '../../../src/node/front/requestDigest.js'

const REQUEST: DigestedRequest = {
  message: { method: 'POST', url: '/sheets/3c', headers: { host: 'shop.example' } },
  keyDigest: 'key-1',
  body: { chunks: [Buffer.from('one'), Buffer.from('two')] }
}

function computeDigest (changes: Partial<DigestedRequest> = {}): string {
  return new RequestDigest({ ...REQUEST, ...changes }).read()
}

describe('the digest of a request', () => {
  it('is the same when the request is sent again, whatever the chunks of its body and the case of its host', () => {
    assert.equal(computeDigest({ message: { ...REQUEST.message, headers: { host: 'Shop.Example', 'x-request-id': 'another' } } }), computeDigest())
    assert.equal(computeDigest({ body: { chunks: [Buffer.from('onet'), Buffer.from('wo')] } }), computeDigest())
  })

  it('differs by method, host, target, caller and body', () => {
    const { message } = REQUEST
    const others = [
      computeDigest({ message: { ...message, method: 'PUT' } }),
      computeDigest({ message: { ...message, headers: { host: 'other.example' } } }),
      computeDigest({ message: { ...message, url: '/sheets/3d' } }),
      computeDigest({ keyDigest: 'key-2' }),
      computeDigest({ keyDigest: undefined }),
      computeDigest({ body: { chunks: [] } })
    ]
    assert.equal(new Set([...others, computeDigest()]).size, others.length + 1)
  })
})
