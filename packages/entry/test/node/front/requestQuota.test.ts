import assert from 'node:assert/strict'
import { it } from 'node:test'
import { AccessOutcome } from '@umberspar/steering/common/entry/decideAccess'
import type { BufferedRequest } from '../../../src/node/front/bufferedRequest.js'
import type { EntryContext } from '../../../src/node/front/entryContext.js'
import { RequestQuota } from '../../../src/node/front/requestQuota.js'
import { QuotaOutcome } from '../../../src/node/quota/accountQuota.js'

const TOKEN = {}

/** @returns how many requests were taken from the quota and returned to it */
function countTaken (request: Partial<BufferedRequest>): { taken: number, returned: number, isAllowed: boolean } {
  const counts = { taken: 0, returned: 0, isAllowed: false }
  const context = {
    accessController: { decide: () => ({ outcome: AccessOutcome.Allowed, account: { name: 'families' } }) },
    quotas: {
      take: (_account: object, onDecided: (decision: object) => void) => {
        counts.taken++
        onDecided({ outcome: QuotaOutcome.Granted, token: TOKEN, waitMs: 0 })
      },
      return: () => { counts.returned++ }
    }
  } as unknown as EntryContext
  const quota = new RequestQuota(context, request as BufferedRequest)
  assert.equal(quota.accountName, 'families')
  quota.take(() => { counts.isAllowed = true }, () => {})
  quota.return()
  quota.return()
  return counts
}

it('a request is taken from the quota once, and returned once', () => {
  assert.deepEqual(countTaken({}), { taken: 1, returned: 1, isAllowed: true })
})

// Guards against relayed requests that two VMs take from the quota.
it('a relayed request is not taken from the quota again', () => {
  assert.deepEqual(countTaken({ relayOrigin: { attempts: 0, service: 'archive', excludedWorkers: [] } }), { taken: 0, returned: 0, isAllowed: true })
})
