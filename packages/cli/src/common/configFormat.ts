/** Builds and formats the output of `config status` and `config history`. */
import type { FleetNode, HistoryEntry } from './operatorMessages.js'
import { Align, formatTable } from './tableFormat.js'

/** The configuration version in force at one node; `version` is undefined if the node did not answer. */
export interface NodeVersion {
  readonly node: FleetNode
  readonly version: number | undefined
}

/** The JSON document of `config status`. */
export interface ConfigurationStatus {
  /** The highest version that any node, or the daemon that listed the fleet, reports. */
  readonly highestVersion: number
  /** Whether every node answered and reports the highest version. */
  readonly isInForceEverywhere: boolean
  readonly nodes: ReadonlyArray<{
    readonly nodeId: string
    readonly region: string
    readonly failureDomain: string
    readonly state: string
    readonly hasAnswered: boolean
    /** As reported by the node itself, or by the daemon that listed the fleet if the node did not answer. */
    readonly configurationVersion: number
  }>
}

/**
 * @param answers one for each node of the fleet
 * @returns the status of the whole fleet
 */
export function buildConfigurationStatus (answers: readonly NodeVersion[]): ConfigurationStatus {
  const nodes = answers.map(({ node, version }) => ({
    nodeId: node.nodeId,
    region: node.region,
    failureDomain: node.failureDomain,
    state: node.state,
    hasAnswered: version !== undefined,
    configurationVersion: version ?? node.configurationVersion
  }))
  const highestVersion = Math.max(0, ...nodes.map((node) => node.configurationVersion))
  const isInForceEverywhere = nodes.length > 0 && nodes.every((node) => node.hasAnswered && node.configurationVersion === highestVersion)
  return { highestVersion, isInForceEverywhere, nodes }
}

/**
 * @param status the status of the whole fleet
 * @returns a summary line and a table with one row for each node
 */
export function formatConfigurationStatus (status: ConfigurationStatus): string {
  const { nodes, highestVersion } = status
  const inForceCount = nodes.filter((node) => node.hasAnswered && node.configurationVersion === highestVersion).length
  const rows = nodes.map((node) => [
    node.nodeId, node.region, node.failureDomain, node.state,
    String(node.configurationVersion), node.hasAnswered ? 'yes' : 'no'
  ])
  const columns = [
    { title: 'NODE' }, { title: 'REGION' }, { title: 'FAILURE DOMAIN' }, { title: 'STATE' },
    { title: 'VERSION', align: Align.Right }, { title: 'ANSWERED' }
  ]
  return `version ${highestVersion} is in force at ${inForceCount} of ${nodes.length} nodes\n${formatTable(columns, rows)}`
}

/**
 * @param entries accepted changes, in the order to print them
 * @returns a table with one row for each change
 */
export function formatHistory (entries: readonly HistoryEntry[]): string {
  const rows = entries.map((entry) => [
    String(entry.version), String(entry.baseVersion), new Date(entry.atWallMs).toISOString(), entry.changeId, entry.note
  ])
  const columns = [
    { title: 'VERSION', align: Align.Right }, { title: 'BASE', align: Align.Right }, { title: 'AT' }, { title: 'CHANGE' }, { title: 'NOTE' }
  ]
  return formatTable(columns, rows)
}
