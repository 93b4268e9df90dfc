/** Waits until all nodes of the fleet have completed a drain. */
import { createDeadline, hasPassed } from '@umberspar/base/common/deadline'
import { ErrorCode } from '@umberspar/base/common/errors'
import { Err, Ok } from '@umberspar/base/common/result'
import type { Result } from '@umberspar/base/common/result'
import { computeDrainProgress, formatDrainProgress } from '../common/drainProgress.js'
import type { DrainProgress, DrainWaitOptions } from '../common/drainProgress.js'
import { getTargetName } from '../common/drainTarget.js'
import { OperatorError } from '../common/operatorError.js'
import type { CliIo } from './cliIo.js'
import { askEachNode } from './fleetQuery.js'
import type { OperatorClient } from './operatorClient.js'
import { waitFor } from './patchSubmitter.js'

/** How long one node may take to answer in each round of polling. */
const NODE_TIMEOUT_MS = 3000
const STEP = 'wait-for-drain'

/** Polls the fleet for its progress with a drain. */
export class DrainWatcher {
  private lastLine = ''

  /**
   * @param client the client of the daemons
   * @param io the environment of the run
   * @param report called with a line whenever the progress has changed
   */
  constructor (
    private readonly client: OperatorClient,
    private readonly io: CliIo,
    private readonly report: (line: string) => void
  ) {}

  /**
   * @param options what to wait for
   * @returns the final progress; `DeadlinePassed`, with the progress so far in its message, if it is not complete by the deadline
   */
  async waitUntilDone (options: DrainWaitOptions): Promise<Result<DrainProgress, OperatorError>> {
    let lastProgress = 'no round of polling has completed'
    while (!hasPassed(this.client.deadline, this.io.clock.now())) {
      const progress = await this.readProgress(options)
      if (progress.ok && progress.val.isDone) return progress
      if (progress.ok) lastProgress = formatDrainProgress(progress.val)
      this.reportIfChanged(progress.ok ? lastProgress : progress.val.message)
      await waitFor(this.io.clock, this.io.pollIntervalMs)
    }
    const message = `not complete by the deadline: ${lastProgress}; the change remains in force, repeat the command to continue waiting`
    return Err(new OperatorError({ code: ErrorCode.DeadlinePassed, step: STEP, peer: getTargetName(options.target), message }))
  }

  private async readProgress (options: DrainWaitOptions): Promise<Result<DrainProgress, OperatorError>> {
    // List the fleet again in each round, because nodes join and leave during a drain.
    const fleet = await this.client.listFleet()
    if (!fleet.ok) return fleet
    const answers = await askEachNode(fleet.val, async (node) => {
      const deadline = createDeadline(this.client.getNow(), NODE_TIMEOUT_MS)
      const drains = await this.client.listDrains(node.operatorAddress, deadline)
      return drains.ok ? drains.val : undefined
    })
    return Ok(computeDrainProgress(options, answers.map(({ node, answer }) => ({ node, drains: answer }))))
  }

  private reportIfChanged (line: string): void {
    if (line === this.lastLine) return
    this.lastLine = line
    this.report(line)
  }
}
