import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { type ExchangeRow, ExchangeTopic, type IFleetExchange } from '@umberspar/steering/common/entry/exchange/exchangeRow'
import { ExchangeHop, formatDatagrams, parseDatagram } from '../../../src/node/exchange/exchangeMessages.js'
import { LostServiceReporter } from '../../../src/node/relay/lostServiceReporter.js'

describe('LostServiceReporter', () => {
  let clock: ManualClock
  let published: ExchangeRow[]
  let lost: string[]
  let reporter: LostServiceReporter

  beforeEach(() => {
    clock = new ManualClock()
    published = []
    lost = []
    const exchange: IFleetExchange = {
      publish: (row) => { published.push(row) },
      listRows: (topic) => (topic === ExchangeTopic.LostServices ? published : []),
      onDidReceive: () => {},
      addAggregation: () => {}
    }
    reporter = new LostServiceReporter({ clock, node: 'vm-1', links: { listDisconnected: () => lost }, exchange })
  })

  function listContents (): unknown[] {
    return published.splice(0).map(({ content }) => content)
  }

  it('publishes lost services at once, each second, and once more when they are reached again', () => {
    reporter.report()
    assert.deepEqual(listContents(), [])
    lost = ['ledger', 'archive']
    reporter.report()
    assert.deepEqual(published, [{ topic: ExchangeTopic.LostServices, key: 'vm-1', content: ['archive', 'ledger'], at: 0 }])
    assert.deepEqual([...reporter.listVmsWithout('archive')], ['vm-1'])
    assert.deepEqual([...reporter.listVmsWithout('other')], [])
    listContents()
    clock.stepBy(2_500)
    assert.deepEqual(listContents(), [['archive', 'ledger'], ['archive', 'ledger']])
    lost = []
    reporter.report()
    assert.deepEqual(listContents(), [[]])
    clock.stepBy(5_000)
    assert.deepEqual(listContents(), [])
  })

  // Guards against a VM without any links whose row fits into no datagram.
  it('publishes as many services as fit into a datagram', () => {
    lost = Array.from({ length: 200 }, (_, index) => `service-äöü-${1_000 + index}`)
    reporter.report()
    const [row] = published
    const [datagram, ...others] = formatDatagrams('vm-1', ExchangeHop.ToRelay, [row!], 0)
    const [sent] = parseDatagram(datagram!)!.rows
    assert.equal(others.length, 0)
    assert.deepEqual(sent?.[3], lost.slice(0, (row!.content as string[]).length))
    assert.ok((row!.content as string[]).length >= 30)
  })

  it('publishes nothing once it is closed', () => {
    lost = ['archive']
    reporter.report()
    reporter.close()
    listContents()
    clock.stepBy(5_000)
    reporter.report()
    assert.deepEqual(listContents(), [])
  })

  it('knows nothing where VMs exchange nothing', () => {
    lost = ['archive']
    const alone = new LostServiceReporter({ clock, node: 'vm-1', links: { listDisconnected: () => lost }, exchange: undefined })
    alone.report()
    assert.equal(clock.countPendingTimers(), 0)
    assert.equal(alone.listVmsWithout('archive').size, 0)
  })
})
