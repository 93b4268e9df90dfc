import assert from 'node:assert/strict'
import { it } from 'node:test'
import { RoutingFault } from '../../../src/common/routing/routingPlan.js'
import { RoutingRule } from '../../../src/node/routing/routingJudge.js'
import { runRouting } from '../../../src/node/routing/routingRun.js'

/** Old versions of routes without homes depend on how fast a busy machine is; `npm run soak:routing` judges them. */
const TIMED: ReadonlySet<RoutingRule> = new Set([RoutingRule.OldVersion, RoutingRule.AddedNotServed, RoutingRule.NotRecovered])
const FAULTS = [RoutingFault.NodeCut, RoutingFault.NodesRefused, RoutingFault.ConnectionsSilent, RoutingFault.Pause]

for (const seed of [6, 9]) {
  // Guards against requests that run outside their homes, or are denied, at VMs that are cut off, refused or paused.
  it(`serves homes and denies routes only by fresh records, on real processes, seed ${seed}`, { timeout: 120_000 }, async () => {
    const { violations, statuses } = await runRouting({ seed, seconds: 20, processes: 4, faults: FAULTS })
    assert.deepEqual(violations.filter(({ rule }) => !TIMED.has(rule)), [])
    assert.ok((statuses[200] ?? 0) > 0 && (statuses[503] ?? 0) > 0, 'requests were served, and some refused by stale records')
  })
}
