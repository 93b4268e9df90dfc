/** Waits until the whole fleet is done with a drain. */
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

/** How long one node may take to answer in one round. */
const NODE_TIMEOUT_MS = 3000
const STEP = 'wait-for-drain'

/** Asks the fleet round by round. */
export class DrainWatcher {
  private lastLine = ''

  /**
   * @param client the daemons
   * @param io the surroundings
   * @param report receives a line whenever the progress has changed
   */
  constructor (
    private readonly client: OperatorClient,
    private readonly io: CliIo,
    private readonly report: (line: string) => void
  ) {}

  /**
   * @param options what is waited for
   * @returns the last progress once done; `DeadlinePassed` with the progress so far otherwise
   */
  async waitUntilDone (options: DrainWaitOptions): Promise<Result<DrainProgress, OperatorError>> {
    let lastProgress = 'no round has ended'
    while (!hasPassed(this.client.deadline, this.io.clock.now())) {
      const progress = await this.readProgress(options)
      if (progress.ok && progress.val.isDone) return progress
      if (progress.ok) lastProgress = formatDrainProgress(progress.val)
      this.reportIfChanged(progress.ok ? lastProgress : progress.val.message)
      await waitFor(this.io.clock, this.io.pollSpanMs)
    }
    const message = `not done by the deadline: ${lastProgress}; the change stays in force, repeat the command to go on waiting`
    return Err(new OperatorError({ code: ErrorCode.DeadlinePassed, step: STEP, peer: getTargetName(options.target), message }))
  }

  private async readProgress (options: DrainWaitOptions): Promise<Result<DrainProgress, OperatorError>> {
    // The fleet is read anew in each round: nodes come and go while a drain runs.
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
