/** Checks of what a crowd of clients may do to an entry process. */
import assert from 'node:assert/strict'
import { EntryTrial } from '../../../../src/node/clients/entryTrial.js'
import type { TrialMachine, TrialResult } from '../../../../src/node/clients/trial.js'
import type { CrowdOptions } from '../../../../src/node/clients/hostileCrowd.js'
import type { CallerLimits } from '../../../../src/node/standIns/usersPlatform/platformRecords.js'

/** A machine of the deployments, made smaller so that a small crowd shows a fault. */
export const MACHINE: TrialMachine = { memoryMb: 200, maxDescriptors: 1_024 }
/** A machine with a third more than an entry process needs in calm, for faults that grow with the number of connections. */
export const SMALL_MACHINE: TrialMachine = { memoryMb: 130, maxDescriptors: 1_024 }
/** How many connections a crowd has unless a test says otherwise. */
export const CONNECTIONS = 20
/** The size of a crowd at a {@link SMALL_MACHINE}. */
export const MANY_CONNECTIONS = 200
/** A request that the configuration allows, without the end of its head. */
export const ORDINARY_HEAD = 'GET /a/1 HTTP/1.1\r\nHost: shop.example\r\nX-Umberspar-Request-Id: crowd\r\nX-Umberspar-Deadline-Ms: 3000\r\n'
/** A request with a body in chunks, without the body. */
export const CHUNKED_HEAD = 'POST /up/1 HTTP/1.1\r\nHost: shop.example\r\nX-Umberspar-Request-Id: crowd\r\nX-Umberspar-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n'
/** The same at a path that no route has. */
export const UNROUTED_CHUNKED_HEAD = CHUNKED_HEAD.replace('/up/1', '/none/1')

const OK = 200

/** Checks that the process lives, stays within its machine and answers an ordinary request. */
export function checkResult ({ end, peakMemoryMb, peakDescriptors, status }: TrialResult, { memoryMb, maxDescriptors }: TrialMachine): void {
  assert.equal(end, undefined, 'the process ended')
  assert.ok(peakMemoryMb! <= memoryMb, `peak of ${peakMemoryMb} MB, of ${memoryMb}`)
  assert.ok(peakDescriptors <= maxDescriptors, `${peakDescriptors} descriptors, of ${maxDescriptors}`)
  assert.equal(status, OK, 'the ordinary request')
}

/** Runs a crowd against a new entry process and checks it. */
export async function checkCrowd (buildOptions: (trial: EntryTrial) => CrowdOptions, machine = MACHINE, limits?: CallerLimits): Promise<void> {
  const trial = new EntryTrial(machine)
  try {
    await trial.start(limits)
    checkResult(await trial.run(buildOptions(trial)), machine)
  } finally {
    await trial.close()
  }
}
