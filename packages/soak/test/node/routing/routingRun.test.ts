import assert from 'node:assert/strict'
import { it } from 'node:test'
import { RoutingFault } from '../../../src/common/routing/routingPlan.js'
import { RoutingRule } from '../../../src/node/routing/routingChecker.js'
import { runRouting } from '../../../src/node/routing/routingRun.js'

/** Violations that a busy machine may cause by its slowness alone; `npm run soak:routing` checks them. */
const TIMED_RULES: ReadonlySet<RoutingRule> = new Set([RoutingRule.ReplacedVersion, RoutingRule.AddedRoutesNotServed, RoutingRule.NotRecovered])
const FAULTS = [RoutingFault.NodePartition, RoutingFault.StoreRefusesNodes, RoutingFault.ConnectionsStalled, RoutingFault.Pause]

for (const seed of [6, 9]) {
  // Guards against VMs that are partitioned, refused by the store or paused, and then run requests outside their home regions or deny them.
  it(`real processes serve home regions and deny routes only by fresh records, seed ${seed}`, { timeout: 120_000 }, async () => {
    const { violations, statuses } = await runRouting({ seed, seconds: 20, processes: 4, faults: FAULTS })
    assert.deepEqual(violations.filter(({ rule }) => !TIMED_RULES.has(rule)), [])
    assert.ok((statuses[200] ?? 0) > 0 && (statuses[503] ?? 0) > 0, 'some requests must be served, and some refused because of stale records')
  })
}
