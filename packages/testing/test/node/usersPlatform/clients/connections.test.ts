import { describe, it } from 'node:test'
import type { EntryTrial } from '../../../../src/node/clients/entryTrial.js'
import type { TrialMachine } from '../../../../src/node/clients/trial.js'
import { checkCrowd, ORDINARY_HEAD } from './trialChecks.js'

/** Few descriptors, of which the crowd wants more than there are. */
const MACHINE: TrialMachine = { memoryMb: 200, maxDescriptors: 300 }
const CONNECTIONS = 400

const LISTENERS: Readonly<Record<string, (trial: EntryTrial) => string>> = {
  callers: ({ settings }) => settings.listen.callers,
  'look-ups, readiness and other entry VMs': ({ settings }) => settings.listen.lookups,
  metrics: ({ settings }) => settings.listen.metrics
}
const FIRST_BYTES: Readonly<Record<string, string | undefined>> = {
  'connections that send nothing': undefined,
  'connections with half a head': ORDINARY_HEAD,
  'connections that are idle behind a request': `${ORDINARY_HEAD}\r\n`
}

// Guards against connections that take the descriptors which workers, other VMs and the store need.
describe('more connections than the machine has descriptors', { timeout: 900_000 }, () => {
  for (const [listener, getAddress] of Object.entries(LISTENERS)) {
    for (const [name, first] of Object.entries(FIRST_BYTES)) {
      it(`leave some free: ${name}, at the listener for ${listener}`, async () => {
        await checkCrowd((trial) => ({ address: getAddress(trial), connections: CONNECTIONS, bytes: { first } }), MACHINE)
      })
    }
  }
})
