/** What all cases share: the record of a run, its limit of time, and its exit code. */
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { Deployment, sleep } from './deployment.mjs'
import { Store } from './store.mjs'

const LIMIT_MS = 110_000
export const HAS_TROUBLE = process.env.TROUBLE !== '0'

/** Exit codes of a case. */
const Exit = { Held: 0, Broken: 1, NotRun: 2 }

/** One run of a case. */
export class Run {
  lines = []
  closables = []
  startedAt = performance.now()
  store = new Store()

  constructor (folder) {
    this.folder = folder
    this.deployment = new Deployment(this.store)
  }

  /** @returns milliseconds since the start */
  now () {
    return Math.round(performance.now() - this.startedAt)
  }

  log (text) {
    this.lines.push(`${String(this.now()).padStart(6)} ms  ${text}`)
  }

  /** Starts workers: their entries are in the store afterwards. */
  async startWorkers (workers) {
    for (const worker of workers) {
      await worker.start(this.deployment.createHost())
      this.closables.push(worker)
    }
  }

  async close () {
    await this.deployment.close()
    for (const closable of this.closables) closable.close()
    this.store.close()
  }
}

/**
 * Runs a case and ends this process: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 * @param folder where record.txt is written
 * @param play plays the case; returns a summary, and what broke the rule
 */
export async function runCase (folder, play) {
  const run = new Run(folder)
  let exit = Exit.NotRun
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.once(signal, () => { run.deployment.close().finally(() => process.exit(Exit.NotRun)) })
  }
  const limit = sleep(LIMIT_MS).then(() => { throw new Error('the case took too long') })
  try {
    const { summary, breaks } = await Promise.race([play(run), limit])
    exit = breaks.length > 0 ? Exit.Broken : Exit.Held
    run.lines.push('', ...summary, ...breaks.map((text) => `BROKEN  ${text}`), breaks.length > 0 ? 'result: the rule was broken' : 'result: the rule held')
  } catch (error) {
    run.lines.push('', `result: the case couldn't run: ${error.stack}`)
  }
  try {
    await run.close()
  } finally {
    writeFileSync(join(folder, 'record.txt'), `${run.lines.join('\n')}\n`)
    console.log(run.lines.slice(-14).join('\n'))
    process.exit(exit)
  }
}
