/** Reserves connections to a worker for health probes before the rest is divided among entry VMs. */

/** Two nodes probe each worker; while membership changes, up to four may consider themselves its probers. */
const RESERVED_PROBE_CONNECTIONS = 4
/** Workers that accept fewer connections have none to spare for probes. */
const MIN_CONNECTIONS_TO_RESERVE = 16

/**
 * @param connections the worker's connection limit
 * @returns how many of them are divided among entry VMs
 */
export function computeDividedConnections (connections: number): number {
  return connections < MIN_CONNECTIONS_TO_RESERVE ? connections : connections - RESERVED_PROBE_CONNECTIONS
}

/**
 * @param connections the worker's connection limit
 * @returns how many connections a node that probes the worker may open in addition to its share
 */
export function computeProbeConnections (connections: number): number {
  return connections < MIN_CONNECTIONS_TO_RESERVE ? 0 : 1
}
