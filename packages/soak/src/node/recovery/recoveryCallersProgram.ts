/** The callers of a recovery run in a process of their own: starts with the plan in its first message, and sends its counts when asked. */
import { SeededRandom } from '@umberspar/base/common/random'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { type CallerPlan, RecoveryCallers } from './recoveryCallers.js'

let callers: RecoveryCallers | undefined

process.on('message', (plan: CallerPlan | undefined) => {
  if (callers !== undefined) {
    process.send!(callers.listSeconds())
    return
  }
  callers = new RecoveryCallers(plan!, new SystemClock(), new SeededRandom(plan!.seed))
  callers.run().catch((error: unknown) => { throw error })
  process.send!('started')
})
process.on('disconnect', () => { process.exit() })
