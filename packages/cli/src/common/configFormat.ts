/** Text of the `config` commands. */
import type { FleetNode, HistoryEntry } from './operatorMessages.js'
import { Align, formatTable } from './tableFormat.js'

/** The version in force at one node; `version` is undefined if it did not answer. */
export interface NodeVersion {
  readonly node: FleetNode
  readonly version: number | undefined
}

/** The JSON document of `config status`. */
export interface ConfigurationStatus {
  /** The highest version that any node or the asked daemon names. */
  readonly highestVersion: number
  /** Every node answered, with the highest version. */
  readonly isInForceEverywhere: boolean
  readonly nodes: ReadonlyArray<{
    readonly nodeId: string
    readonly region: string
    readonly failureDomain: string
    readonly state: string
    readonly hasAnswered: boolean
    /** The node's own word, or the asked daemon's if the node did not answer. */
    readonly configurationVersion: number
  }>
}

/**
 * @param answers one for each node of the fleet
 * @returns the sum over the fleet
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
 * @param status the sum over the fleet
 * @returns a line and a table
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
 * @param entries accepted changes
 * @returns a table, the newest first
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
