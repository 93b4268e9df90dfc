import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { it } from 'node:test'
import { createDeadline } from '@umberspar/base/common/deadline'
import { ErrorCode } from '@umberspar/base/common/errors'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { HttpVmList } from '../../../src/node/vms/httpVmList.js'

const DEADLINE_MS = 100

it('reads the list, and reports an invalid list, an error status and a missing response as errors', async () => {
  // The clock reaches the deadline when the server gets the request that it does not respond to, however long the earlier requests took.
  const clock = new ManualClock()
  const vm = { vmId: 'v', role: 'entry', state: 'live', region: 'r', failureDomain: 'd', address: '127.0.0.1:1' }
  const snapshot = { version: 3, vms: [vm] }
  const preparedResponses = [[200, JSON.stringify(snapshot)], [200, '{"version":3,"vms":[{}]}'], [500, ''], undefined] as const
  let requestCount = 0
  const server = createServer((_request, response) => {
    const prepared = preparedResponses[requestCount++]
    if (prepared !== undefined) response.writeHead(prepared[0]).end(prepared[1])
    else clock.stepBy(DEADLINE_MS)
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const list = new HttpVmList({ url: `http://127.0.0.1:${(server.address() as AddressInfo).port}/vms`, clock })
  try {
    const farDeadline = createDeadline(clock.now(), 60_000)
    assert.deepEqual((await list.fetch(farDeadline)).val, snapshot)
    for (const [code, deadline] of [[ErrorCode.Invalid, farDeadline], [ErrorCode.Unavailable, farDeadline], [ErrorCode.Unavailable, createDeadline(clock.now(), DEADLINE_MS)]] as const) {
      const result = await list.fetch(deadline)
      assert.ok(result.err)
      assert.equal(result.val.code, code)
    }
  } finally {
    await list.close()
    server.closeAllConnections()
    server.close()
  }
})
