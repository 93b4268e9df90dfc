import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { FleetReports, type FleetReportsOptions } from '../../../src/node/exchange/fleetReports.js'
import { ExchangeNetwork } from './exchangeNetwork.js'

function createReports (): { readonly reports: FleetReports, readonly network: ExchangeNetwork } {
  const network = new ExchangeNetwork({ 'north-1': 'north' })
  const { exchange } = network.addVm('vm', 'north-1', false)
  // Nothing is read from the view while no time passes.
  const options = { clock: network.clock, exchange, view: {}, gates: {}, links: { listDisconnected: () => [] }, regionByDomain: new Map(), telemetry: {}, node: 'vm', isPlacementAdaptive: true }
  return { network, reports: new FleetReports(options as unknown as FleetReportsOptions) }
}

describe('the reports of a VM', () => {
  it('leave no timer when they are closed', async () => {
    const { network, reports } = createReports()
    network.vms.get('vm')!.exchange.start = () => {}
    reports.start()
    assert.ok(network.clock.countPendingTimers() > 0)
    await reports.close()
    assert.equal(network.clock.countPendingTimers(), 0)
  })

  // Guards against a process that is stopped while it starts and then never ends.
  it('do not start after they were closed', async () => {
    const { network, reports } = createReports()
    await reports.close()
    reports.start()
    assert.equal(network.clock.countPendingTimers(), 0)
  })
})
