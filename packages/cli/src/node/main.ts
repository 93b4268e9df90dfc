/** The entry point of the `umberspar` process. */
import { randomUUID } from 'node:crypto'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { runCli } from './runCli.js'
import { PROCESS_TERMINAL } from './terminal.js'

const POLL_INTERVAL_MS = 500

process.exitCode = await runCli(process.argv.slice(2), {
  terminal: PROCESS_TERMINAL,
  clock: new SystemClock(),
  environment: process.env,
  createChangeId: randomUUID,
  pollIntervalMs: POLL_INTERVAL_MS
})
