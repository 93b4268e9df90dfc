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

it('reads the list, and refuses an answer that is none, an error status and silence', async () => {
  // The deadline passes when the silent server has been asked, however long the answers before it took.
  const clock = new ManualClock()
  const vm = { vmId: 'v', role: 'entry', state: 'live', region: 'r', failureDomain: 'd', address: '127.0.0.1:1' }
  const snapshot = { version: 3, vms: [vm] }
  const answers = [[200, JSON.stringify(snapshot)], [200, '{"version":3,"vms":[{}]}'], [500, ''], undefined] as const
  let asked = 0
  const server = createServer((_request, response) => {
    const answer = answers[asked++]
    if (answer !== undefined) response.writeHead(answer[0]).end(answer[1])
    else clock.stepBy(DEADLINE_MS)
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const list = new HttpVmList({ url: `http://127.0.0.1:${(server.address() as AddressInfo).port}/vms`, clock })
  try {
    const far = createDeadline(clock.now(), 60_000)
    assert.deepEqual((await list.fetch(far)).val, snapshot)
    for (const [code, deadline] of [[ErrorCode.Invalid, far], [ErrorCode.Unavailable, far], [ErrorCode.Unavailable, createDeadline(clock.now(), DEADLINE_MS)]] as const) {
      const failed = await list.fetch(deadline)
      assert.ok(failed.err)
      assert.equal(failed.val.code, code)
    }
  } finally {
    await list.close()
    server.closeAllConnections()
    server.close()
  }
})
