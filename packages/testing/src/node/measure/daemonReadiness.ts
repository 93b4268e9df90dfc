/** Asks a daemon, over its operators' listener, whether it is ready. */
import type { IClock } from '@umberspar/base/common/clock'
import { createDeadline } from '@umberspar/base/common/deadline'
import type { DaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import { request } from 'undici'
import { waitForCondition } from '../load/polling.js'

const POLL_MS = 50
const OK_STATUS = 200

async function isReady (operatorsAddress: string): Promise<boolean> {
  try {
    const response = await request(`http://${operatorsAddress}/readyz`)
    await response.body.dump()
    return response.statusCode === OK_STATUS
  } catch {
    return false
  }
}

/**
 * @param settings the daemon's settings
 * @param clock the source of time
 * @param withinMs how long to wait
 * @returns whether the daemon has said in time that it is ready
 */
export function waitUntilDaemonReady (settings: DaemonSettings, clock: IClock, withinMs: number): Promise<boolean> {
  return waitForCondition(clock, createDeadline(clock.now(), withinMs), POLL_MS, () => isReady(settings.operators.address))
}
