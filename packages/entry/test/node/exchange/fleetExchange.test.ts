import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ExchangeTopic, ROW_LIFETIME_MS } from '@umberspar/steering/common/entry/exchange/exchangeRow'
import { formatDatagrams, ExchangeHop, parseDatagram } from '../../../src/node/exchange/exchangeMessages.js'
import { ExchangeNetwork, type SimulatedVm } from './exchangeNetwork.js'

const REGIONS = { 'north-1': 'north', 'north-2': 'north', 'south-1': 'south', 'south-2': 'south' }
const DOMAINS = Object.keys(REGIONS)
const VMS_PER_DOMAIN = 6
const START_MS = 3_000
/** An exchange within two intervals a hop, and three intervals more between regions. */
const SPREAD_MS = 1_000
const FAILURE_MS = 4_000

function createNetwork (vmsPerDomain = VMS_PER_DOMAIN): ExchangeNetwork {
  const network = new ExchangeNetwork(REGIONS)
  for (const domain of DOMAINS) {
    for (let index = 0; index < vmsPerDomain; index++) network.addVm(`${domain}-vm-${index}`, domain)
  }
  network.clock.stepBy(START_MS)
  return network
}

function publish (network: ExchangeNetwork, vm: SimulatedVm, key: string, content: number, topic = ExchangeTopic.LostServices): void {
  vm.exchange.publish({ topic, key, content, at: network.clock.now() })
}

function listKnowing (network: ExchangeNetwork, key: string, content: number, topic = ExchangeTopic.LostServices): string[] {
  return [...network.vms.values()]
    .filter(({ exchange }) => [...exchange.listRows(topic)].some((row) => row.key === key && row.content === content))
    .map(({ node }) => node.name)
}

function findRelays (network: ExchangeNetwork, domain: string): string[] {
  return [...network.vms.values()].filter(({ node, exchange }) => node.domain === domain && exchange.readCounts().isRelay).map(({ node }) => node.name)
}

describe('the exchange among entry VMs', () => {
  it('tells all VMs a row of one', () => {
    const network = createNetwork()
    publish(network, network.vms.get('north-1-vm-3')!, 'a', 1)
    network.clock.stepBy(SPREAD_MS)
    assert.equal(listKnowing(network, 'a', 1).length, network.vms.size)
  })

  it('has two relays in each failure domain', () => {
    const network = createNetwork()
    for (const domain of DOMAINS) assert.equal(findRelays(network, domain).length, 2, domain)
  })

  it('tells rows of a worker to the VMs of its region and to those that use it', () => {
    const network = createNetwork()
    publish(network, network.vms.get('north-1-vm-3')!, 'north-2/w', 1, ExchangeTopic.WorkerLoad)
    network.clock.stepBy(SPREAD_MS)
    const near = listKnowing(network, 'north-2/w', 1, ExchangeTopic.WorkerLoad)
    assert.deepEqual(near.filter((name) => name.startsWith('south')), [])
    assert.equal(near.length, 2 * VMS_PER_DOMAIN)
    publish(network, network.vms.get('south-1-vm-0')!, 'north-2/w', 2, ExchangeTopic.WorkerLoad)
    network.clock.stepBy(SPREAD_MS)
    publish(network, network.vms.get('north-1-vm-3')!, 'north-2/w', 3, ExchangeTopic.WorkerLoad)
    network.clock.stepBy(SPREAD_MS)
    const users = listKnowing(network, 'north-2/w', 3, ExchangeTopic.WorkerLoad)
    assert.equal(users.filter((name) => name.startsWith('south-1')).length, VMS_PER_DOMAIN)
    assert.deepEqual(users.filter((name) => name.startsWith('south-2')), [])
  })

  it('sums the rows of a failure domain up at its relays', () => {
    const network = createNetwork()
    for (const { exchange } of network.vms.values()) {
      exchange.addAggregation({ from: ExchangeTopic.VmDemand, to: ExchangeTopic.DomainDemand, compute: (rows) => [...rows].reduce((sum, { content }) => sum + Number(content), 0) })
    }
    for (const vm of network.vms.values()) publish(network, vm, vm.node.name, 10, ExchangeTopic.VmDemand)
    network.clock.stepBy(2 * SPREAD_MS)
    for (const domain of DOMAINS) assert.equal(listKnowing(network, domain, 10 * VMS_PER_DOMAIN, ExchangeTopic.DomainDemand).length, network.vms.size)
    assert.ok(listKnowing(network, 'north-1-vm-0', 10, ExchangeTopic.VmDemand).every((name) => name.startsWith('north-1')))
  })

  // Guards against rows that reach nobody because the relays of a failure domain are gone.
  it('goes on by way of other VMs when both relays of a domain lose power', () => {
    const network = createNetwork()
    const relays = findRelays(network, 'north-1')
    for (const name of relays) network.stopVm(name)
    network.clock.stepBy(FAILURE_MS)
    const writer = [...network.vms.values()].find(({ node }) => node.domain === 'north-1' && !relays.includes(node.name))!
    publish(network, writer, 'a', 1)
    network.clock.stepBy(SPREAD_MS)
    assert.equal(listKnowing(network, 'a', 1).length, network.vms.size - relays.length)
  })

  // Guards against a relay that receives rows but whose own datagrams are lost.
  it('uses another relay in place of one that is heard by nobody', () => {
    const network = createNetwork()
    const relays = findRelays(network, 'south-1')
    for (const name of relays) network.breakLinks(name, { isIncoming: false })
    network.clock.stepBy(FAILURE_MS)
    const writer = [...network.vms.values()].find(({ node }) => node.domain === 'south-1' && !relays.includes(node.name))!
    publish(network, writer, 'a', 1)
    network.clock.stepBy(SPREAD_MS)
    assert.ok(listKnowing(network, 'a', 1).length >= network.vms.size - relays.length)
  })

  // Guards against most VMs being down at once: those that are left find each other.
  it('connects the VMs that are left when most lose power', () => {
    const network = createNetwork()
    for (const domain of DOMAINS) {
      const alive = findRelays(network, domain)[0]!.endsWith('0') ? 1 : 0
      for (let index = 0; index < VMS_PER_DOMAIN; index++) if (index !== alive) network.stopVm(`${domain}-vm-${index}`)
    }
    network.clock.stepBy(5 * FAILURE_MS)
    const left = [...network.vms.values()].filter(({ exchange, node }) => exchange.readCounts().isRelay && DOMAINS.some((domain) => node.name.startsWith(domain)))
    publish(network, left[0]!, 'a', 1)
    network.clock.stepBy(2 * FAILURE_MS)
    assert.ok(listKnowing(network, 'a', 1).length >= DOMAINS.length)
  })

  // Guards against a VM that was paused and takes what waited in its socket for new.
  it('does not take rows over at a VM that could not run', () => {
    const network = createNetwork()
    const vm = network.vms.get('north-1-vm-5')!
    vm.isLate = true
    publish(network, network.vms.get('north-1-vm-0')!, 'a', 1)
    network.clock.stepBy(SPREAD_MS)
    assert.ok(!listKnowing(network, 'a', 1).includes(vm.node.name))
  })

  // Guards against overloaded VMs that take all others for silent, and make one after another a relay.
  it('keeps two relays in a domain whose VMs are late', () => {
    const network = createNetwork()
    const before = findRelays(network, 'north-1')
    for (const vm of network.vms.values()) vm.isLate = vm.node.domain === 'north-1'
    for (let step = 0; step < 10; step++) {
      network.clock.stepBy(SPREAD_MS)
      assert.deepEqual(findRelays(network, 'north-1'), before)
    }
  })

  // Guards against VMs of a build without the exchange that are chosen as relays.
  it('leaves VMs out that take no part', () => {
    const network = new ExchangeNetwork(REGIONS)
    for (const domain of DOMAINS) {
      for (let index = 0; index < VMS_PER_DOMAIN; index++) network.addVm(`${domain}-vm-${index}`, domain, index % 2 === 0)
    }
    network.clock.stepBy(START_MS)
    publish(network, network.vms.get('north-1-vm-2')!, 'a', 1)
    network.clock.stepBy(SPREAD_MS)
    assert.equal(listKnowing(network, 'a', 1).length, DOMAINS.length * VMS_PER_DOMAIN / 2)
  })

  // Guards against tables that fill up with rows about workers and VMs that are gone.
  it('forgets rows that nobody renews, also at VMs that are no relays', () => {
    const network = createNetwork()
    publish(network, network.vms.get('north-1-vm-3')!, 'a', 1)
    network.clock.stepBy(ROW_LIFETIME_MS + 2 * SPREAD_MS)
    assert.deepEqual([...network.vms.values()].filter(({ exchange }) => exchange.readCounts().rows > 0).map(({ node }) => node.name), [])
  })

  // Guards against state that grows with each VM that is replaced by one of another name.
  it('forgets VMs that are no longer registered', () => {
    const network = new ExchangeNetwork({ 'north-1': 'north', 'south-1': 'south' })
    const vm = network.addVm('north-1-vm', 'north-1')
    const countPeers = (): number => vm.exchange.readCounts().peers
    const runRound = (round: number): void => {
      for (const domain of ['north-1', 'south-1']) network.addVm(`${domain}-${round}`, domain)
      network.clock.stepBy(FAILURE_MS)
      for (const domain of ['north-1', 'south-1']) network.removeVm(`${domain}-${round}`)
    }
    for (let round = 0; round < 2; round++) runRound(round)
    network.clock.stepBy(FAILURE_MS)
    const before = countPeers()
    for (let round = 2; round < 8; round++) runRound(round)
    network.clock.stepBy(FAILURE_MS)
    assert.equal(countPeers(), before)
  })

  // Guards against a sum of the first few rows: the rates of one VM would stand for those of the whole domain.
  it('tells no sum of a failure domain before its VMs have been heard', () => {
    const network = new ExchangeNetwork(REGIONS)
    const sums: number[] = []
    for (const domain of DOMAINS) {
      for (let index = 0; index < VMS_PER_DOMAIN; index++) {
        const { exchange } = network.addVm(`${domain}-vm-${index}`, domain)
        exchange.addAggregation({ from: ExchangeTopic.VmDemand, to: ExchangeTopic.DomainDemand, compute: (rows) => [...rows].length || undefined })
        exchange.onDidReceive(ExchangeTopic.DomainDemand, ({ content }) => { sums.push(Number(content)) })
      }
    }
    const publishAll = (): void => { for (const vm of network.vms.values()) publish(network, vm, vm.node.name, 1, ExchangeTopic.VmDemand) }
    for (let second = 0; second < 8; second++) {
      network.clock.stepBy(500)
      publishAll()
      network.clock.stepBy(500)
      if (second === 3) for (const name of findRelays(network, 'north-1')) network.stopVm(name)
    }
    assert.ok(sums.length > 0)
    assert.deepEqual(sums.filter((count) => count < VMS_PER_DOMAIN - 2), [])
  })

  describe('in a large failure domain', () => {
    function createLargeDomain (vmCount: number): ExchangeNetwork {
      const network = new ExchangeNetwork({ 'north-1': 'north' })
      for (let index = 0; index < vmCount; index++) network.addVm(`vm-${index}`, 'north-1')
      network.clock.stepBy(START_MS)
      return network
    }

    // Guards against relays that send all rows of a large domain to all of its VMs at once.
    it('limits the datagrams of a relay, however many rows there are', () => {
      const network = createLargeDomain(40)
      for (const vm of network.vms.values()) vm.sentCount = 0
      const writer = network.vms.get('vm-3')!
      for (let round = 0; round < 50; round++) {
        for (let worker = 0; worker < 1_000; worker++) publish(network, writer, `north-1/worker-${worker}`, round, ExchangeTopic.WorkerLoad)
        network.clock.stepBy(100)
      }
      for (const name of findRelays(network, 'north-1')) assert.ok(network.vms.get(name)!.sentCount <= 5 * 400 + 200, `${name} sent ${network.vms.get(name)!.sentCount}`)
    })

    it('still tells all VMs the rows of the whole fleet while there are more rows than can be sent', () => {
      const network = createLargeDomain(40)
      const writer = network.vms.get('vm-3')!
      for (let round = 0; round < 50; round++) {
        if (round === 0) publish(network, writer, 'a', 1)
        for (let worker = 0; worker < 1_000; worker++) publish(network, writer, `north-1/worker-${worker}`, round, ExchangeTopic.WorkerLoad)
        network.clock.stepBy(100)
      }
      assert.equal(listKnowing(network, 'a', 1).length, network.vms.size)
    })

    // Guards against VMs that take relays with long intervals for silent, until most VMs are relays.
    it('keeps two relays', () => {
      const network = createLargeDomain(500)
      network.clock.stepBy(3_000)
      assert.equal(findRelays(network, 'north-1').length, 2)
    })
  })

  // Guards against costs that grow with the fleet.
  it('costs a VM that is no relay the same in a fleet five times as large', () => {
    const counts = [3, 15].map((vmsPerDomain) => {
      const network = createNetwork(vmsPerDomain)
      const vm = [...network.vms.values()].find(({ exchange }) => !exchange.readCounts().isRelay)!
      vm.sentCount = 0
      network.clock.stepBy(10 * SPREAD_MS)
      return vm.sentCount
    })
    assert.equal(counts[0], counts[1])
  })
})

describe('a datagram of the exchange', () => {
  it('stays within the size that networks carry in one piece', () => {
    const rows = Array.from({ length: 200 }, (_, index) => ({ topic: ExchangeTopic.WorkerLoad, key: `worker-${index}`, content: [index, 1, 2], at: 0 }))
    const datagrams = formatDatagrams('vm', ExchangeHop.ToRelay, rows, 100)
    assert.ok(datagrams.every(({ length }) => length <= 1_200))
    assert.equal(datagrams.reduce((sum, datagram) => sum + parseDatagram(datagram)!.rows.length, 0), rows.length)
  })

  for (const text of ['', '{', 'null', '{"v":2,"from":"vm","hop":0,"rows":[]}', '{"v":1,"from":"vm","hop":7,"rows":[]}', '{"v":1,"from":"vm","hop":0,"rows":[["load","k",-1,0]]}', '{"v":1,"from":"vm","hop":0,"rows":[["load","k"]]}', '{"v":1,"from":"vm","hop":0,"rows":[["load","k",1e999,0]]}', '{"v":1,"from":1,"hop":0,"rows":[]}', '{"v":1,"from":"vm","hop":0,"rows":{}}']) {
    it(`is ignored if it can't be read: ${text}`, () => {
      assert.equal(parseDatagram(Buffer.from(text)), undefined)
    })
  }
})
