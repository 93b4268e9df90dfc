import { describe, it } from 'node:test'
import { DaemonTrial } from '../../../src/node/clients/daemonTrial.js'
import type { CrowdOptions } from '../../../src/node/clients/hostileCrowd.js'
import type { TrialMachine } from '../../../src/node/clients/trial.js'
import { checkResult, CONNECTIONS } from '../usersPlatform/clients/trialChecks.js'

const MACHINE: TrialMachine = { memoryMb: 200, maxDescriptors: 1_024 }
const REQUEST = 'GET /v1/services/closeout-desk/items/1?size=10 HTTP/1.1\r\nHost: a\r\n\r\n'
const UNKNOWN = 'GET /none HTTP/1.1\r\nHost: a\r\n\r\n'
const LOOKUP = 'GET /v1/lookup?service=closeout-desk HTTP/1.1\r\nHost: a\r\n\r\n'
const CONFIGURATION = 'GET /v1/config HTTP/1.1\r\nHost: a\r\n\r\n'
const CHUNKED = 'POST /v1/services/closeout-desk/items/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'

const CROWDS: Readonly<Record<string, (trial: DaemonTrial) => CrowdOptions>> = {
  'requests sent ahead': ({ settings }) => ({ address: settings.callers.address, connections: CONNECTIONS, bytes: { repeated: REQUEST } }),
  'unknown paths sent ahead': ({ settings }) => ({ address: settings.callers.address, connections: CONNECTIONS, bytes: { repeated: UNKNOWN } }),
  'look-ups sent ahead': ({ settings }) => ({ address: settings.callers.address, connections: CONNECTIONS, bytes: { repeated: LOOKUP } }),
  'operators\' requests sent ahead': ({ settings }) => ({ address: settings.operators.address, connections: CONNECTIONS, bytes: { repeated: CONFIGURATION } }),
  'trailers without end': ({ settings }) => ({ address: settings.callers.address, connections: CONNECTIONS, bytes: { first: `${CHUNKED}0\r\n`, repeated: 'ab:cd\r\n' } }),
  'chunks of one byte': ({ settings }) => ({ address: settings.callers.address, connections: CONNECTIONS, bytes: { first: CHUNKED, repeated: '1\r\nx\r\n' } })
}

// Guards against requests and framing that the daemon keeps without a limit.
describe('clients of the daemon', { timeout: 900_000 }, () => {
  for (const [way, isTls] of Object.entries({ 'without TLS': false, 'with TLS': true })) {
    for (const [name, buildOptions] of Object.entries(CROWDS)) {
      it(`do not exhaust it: ${name}, ${way}`, async () => {
        const trial = new DaemonTrial(MACHINE, isTls)
        try {
          await trial.start()
          checkResult(await trial.run(buildOptions(trial)), MACHINE)
        } finally {
          await trial.close()
        }
      })
    }
  }
})
