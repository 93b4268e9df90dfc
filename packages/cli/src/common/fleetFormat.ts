/** Formats the output of `status` and `lookup`. */
import type { LookupAnswer } from '@umberspar/steering/common/lookup/decideLookup'
import type { FleetNode } from './operatorMessages.js'
import { Align, formatTable } from './tableFormat.js'

/**
 * @param nodes the nodes of the fleet
 * @returns a table with one row for each node
 */
export function formatFleet (nodes: readonly FleetNode[]): string {
  const rows = nodes.map((node) => [
    node.nodeId, node.region, node.failureDomain, node.state, node.callersAddress, node.operatorAddress, String(node.configurationVersion)
  ])
  const columns = [
    { title: 'NODE' }, { title: 'REGION' }, { title: 'FAILURE DOMAIN' }, { title: 'STATE' },
    { title: 'CALLERS' }, { title: 'OPERATORS' }, { title: 'VERSION', align: Align.Right }
  ]
  return formatTable(columns, rows)
}

/**
 * @param answer the answer to a look-up
 * @returns a summary line and a table with one row for each entry VM
 */
export function formatLookup (answer: LookupAnswer): string {
  const summary = `${answer.service} from region ${answer.region}, configuration version ${answer.configurationVersion}, may be cached for ${answer.cacheForMs} ms`
  const rows = answer.entries.map((entry) => [entry.nodeId, entry.address, entry.weight.toFixed(3)])
  return `${summary}\n${formatTable([{ title: 'NODE' }, { title: 'ADDRESS' }, { title: 'WEIGHT', align: Align.Right }], rows)}`
}
