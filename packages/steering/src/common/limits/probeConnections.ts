/** Connections to a worker that are set aside for probes before the rest is divided. */

/** Two nodes probe a worker; while the fleet changes, twice as many may believe that they do. */
const RESERVED = 4
/** A worker that bears so few connections has none to spare. */
const LEAST_TO_RESERVE = 16

/**
 * @param connections what a worker bears
 * @returns what is divided among its entry VMs
 */
export function computeDividedConnections (connections: number): number {
  return connections < LEAST_TO_RESERVE ? connections : connections - RESERVED
}

/**
 * @param connections what a worker bears
 * @returns what each node that probes it may open beside its part
 */
export function computeProbeConnections (connections: number): number {
  return connections < LEAST_TO_RESERVE ? 0 : 1
}
