import assert from 'node:assert/strict'
import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { it } from 'node:test'
import { StatsdMetrics } from '../../../src/node/metrics/statsdMetrics.js'

it('sends buffered measurements on close, and ignores later ones without throwing', async () => {
  const receiver = createSocket('udp4')
  receiver.bind(0, '127.0.0.1')
  await once(receiver, 'listening')
  try {
    const metrics = new StatsdMetrics({ host: '127.0.0.1', port: receiver.address().port, tags: { node: 'n' } })
    const received = once(receiver, 'message') as Promise<[Buffer]>
    metrics.count('calls', 2, { kind: 'get' })
    metrics.set('open', 3)
    metrics.observe('latency', 4)
    await metrics.close()
    metrics.count('calls', 1)
    const [packet] = await received
    const lines = packet.toString().trim().split('\n')
    assert.deepEqual(lines.map((line) => line.split('|#')[0]), ['umberspar.calls:2|c', 'umberspar.open:3|g', 'umberspar.latency:4|ms'])
    assert.match(lines[0] ?? '', /kind:get/)
  } finally {
    receiver.close()
  }
})
