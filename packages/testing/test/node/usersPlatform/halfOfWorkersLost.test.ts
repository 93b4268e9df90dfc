import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { type LocalEntry, LocalPlatform } from '../../../src/node/standIns/usersPlatform/localPlatform.js'
import { WorkerLinkFault } from '../../../src/node/standIns/usersPlatform/workerLink.js'

const DOMAINS = { 'north-1': 'north', 'south-1': 'south' }
const WORKERS = 24
const WORK_MS = 20
const ROUNDS = 60
const ROUND_MS = 30

describe('entry VMs, after half of a service\'s workers were lost while the others answer', { timeout: 60_000 }, () => {
  let platform: LocalPlatform
  let entries: LocalEntry[]
  let requests = 0

  beforeEach(async () => {
    platform = new LocalPlatform(DOMAINS)
    for (let index = 0; index < WORKERS; index++) (await platform.addWorker(`w-${index}`, 'archive', index % 4 < 2 ? 'north-1' : 'south-1')).workMs = WORK_MS
    platform.putConfiguration([{ Name: 'lookups', Prefix: '/safe/', Service: 'archive' }])
    entries = await Promise.all([platform.startEntry('vm-1', 'north-1'), platform.startEntry('vm-2', 'north-1'), platform.startEntry('vm-3', 'south-1')])
    for (const entry of entries) await platform.waitUntilReady(entry)
    await send()
  })

  afterEach(async () => { await platform.close() })

  async function send (): Promise<void> {
    const answers: Array<Promise<unknown>> = []
    for (let round = 0; round < ROUNDS; round++) {
      for (const entry of entries) {
        const id = `id-${requests++}`
        answers.push(platform.call(entry, { path: '/safe/1', id, key: id }))
      }
      await new Promise((resolve) => setTimeout(resolve, ROUND_MS))
    }
    await Promise.all(answers)
  }

  const listLost = (): string[] => [...platform.workers.keys()].filter((_, index) => index % 2 === 0)
  const faults = [
    { name: 'crash', lose: () => { for (const id of listLost()) platform.workers.get(id)!.close() } },
    {
      name: 'lose power',
      lose: () => {
        const addresses = listLost().map((id) => (JSON.parse(platform.store.state.get(`servers/${id}`)!.value) as { Addr: string }).Addr)
        for (const { link } of entries) link.setFault(WorkerLinkFault.Hang, addresses)
      }
    }
  ]

  for (const { name, lose } of faults) {
    // Guards against VMs that all conclude that their links are lost, and refuse each other's requests.
    it(`go on using the others when workers ${name}`, async () => {
      lose()
      await send()
      for (const { lines } of entries) assert.deepEqual(lines.filter(({ step }) => step === 'disconnect-workers' || step === 'relay-request'), [])
    })
  }
})
