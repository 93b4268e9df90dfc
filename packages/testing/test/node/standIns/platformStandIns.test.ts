import assert from 'node:assert/strict'
import { readFile } from 'node:fs/promises'
import { describe, test } from 'node:test'
import { fileURLToPath } from 'node:url'
import { request } from 'undici'
import { computeDigest } from '@umberspar/steering/common/configuration/canonicalJson'
import { validateConfiguration } from '@umberspar/steering/common/configuration/validateConfiguration'
import { VmState } from '@umberspar/steering/common/ports/vmList'
import { ManualClock } from '@umberspar/base/common/manualClock'
import { ControlListener } from '../../../src/node/standIns/controlListener.js'
import { buildEntryVm, loadEntrySettings } from '../../../src/node/standIns/entrySettings.js'
import { PlatformStandIns } from '../../../src/node/standIns/platformStandIns.js'
import { VmListStandIn } from '../../../src/node/standIns/vmListStandIn.js'

const CONFIG_ROOT = fileURLToPath(new URL('../../../../../../config/', import.meta.url))

/** What the brief says of each deployment. */
const SIZES = [
  { deployment: 'teratai', workers: { 'itinerary-svc': 16, 'escort-svc': 12, 'docs-svc': 12, 'billing-svc': 12 }, slots: [3, 4], connections: 360 },
  { deployment: 'guild', workers: { 'sheet-archive': 20, 'closeout-desk': 12, 'photo-intake': 12, 'visit-ledger': 12 }, slots: [3, 5], connections: 390 }
]

for (const { deployment, workers, slots, connections } of SIZES) {
  describe(`the stand-ins of ${deployment}`, () => {
    test('the files have the sizes of the brief and pass the whole check', async () => {
      const body = validateConfiguration(JSON.parse(await readFile(`${CONFIG_ROOT}${deployment}/steering.json`, 'utf8'))).unwrap()
      const countsByService = Object.entries(body.services).map(([service, { places }]) => {
        const all = Object.values(places).flatMap((place) => Object.values(place.workers))
        assert.ok(all.every((worker) => worker.slots >= (slots[0] ?? 0) && worker.slots <= (slots[1] ?? 0) && worker.connections === connections))
        assert.equal(Object.keys(places).length, 6)
        return [service, all.length]
      })
      assert.deepEqual(Object.fromEntries(countsByService), workers)
      const settings = await loadEntrySettings(`${CONFIG_ROOT}${deployment}`)
      assert.equal(new Set(settings.map((one) => one.nodeId)).size, 12)
      assert.equal(new Set(settings.flatMap((one) => [one.callers.address, one.peers.address, one.operators.address])).size, 36)
    })

    test('they start, hold the configuration with real addresses, and switch faults over HTTP', async () => {
      const settings = await loadEntrySettings(`${CONFIG_ROOT}${deployment}`)
      const configurationInput = JSON.parse(await readFile(`${CONFIG_ROOT}${deployment}/steering.json`, 'utf8'))
      const standIns = await PlatformStandIns.start({ configurationInput, keyPrefix: `/umberspar/${deployment}/`, entryVms: settings.map(buildEntryVm) })
      const control = new ControlListener(standIns)
      try {
        const stored = new Map(standIns.store.saveState().keys.keys.map((kv) => [kv.key.toString(), kv.value.toString()]))
        const head = JSON.parse(stored.get(`/umberspar/${deployment}/config/head`) ?? '')
        const text = stored.get(`/umberspar/${deployment}/config/body/1/${head.changeId}/0`) ?? ''
        assert.equal(computeDigest(text), head.digest)
        const addresses = standIns.fleet.listWorkers().map((member) => member.address)
        assert.ok(addresses.every((address) => text.includes(`"${address}"`)))
        const url = await control.start('127.0.0.1:0')
        const failureDomain = settings[0]?.failureDomain ?? ''
        const sendFault = (body: object) => request(`${url}/v1/faults`, { method: 'POST', body: JSON.stringify(body) }).then(async (answer) => {
          await answer.body.dump()
          return answer.statusCode
        })
        assert.equal(await sendFault({ target: `domain:${failureDomain}`, fault: { slowFactor: 3 } }), 200)
        assert.ok(standIns.fleet.listWorkers().every((member) => member.worker.getFaults().slowFactor === (member.failureDomain === failureDomain ? 3 : 1)))
        assert.equal(await sendFault({ target: 'store', fault: { isDown: true } }), 200)
        assert.equal(standIns.store.getFaults().isDown, true)
        assert.equal(await sendFault({ target: 'store', fault: { isDwon: true } }), 400)
        assert.equal(await sendFault({ target: 'worker:none' }), 400)
      } finally {
        await control.close()
        await standIns.close()
      }
    })
  })
}

test('the VM list shows a change only after its lag, and none while it is stale', async () => {
  const clock = new ManualClock(1000)
  const [settings] = await loadEntrySettings(`${CONFIG_ROOT}guild`)
  assert.ok(settings !== undefined)
  const list = new VmListStandIn({ clock, lagSpanMs: 2000, vms: [buildEntryVm(settings)] })
  list.setVmState('entry-1', VmState.Leaving)
  clock.stepBy(1999)
  assert.equal(list.getVisible().vms[0]?.state, VmState.Live)
  clock.stepBy(1)
  assert.equal(list.getVisible().vms[0]?.state, VmState.Leaving)
  list.setFaults({ isStale: true })
  list.removeVm('entry-1')
  clock.stepBy(5000)
  assert.equal(list.getVisible().vms.length, 1)
  list.clearFaults()
  assert.deepEqual(list.getVisible().vms, [])
})
