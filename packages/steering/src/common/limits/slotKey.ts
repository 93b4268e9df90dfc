/** Keys by which entry VMs refer to the limits of workers and places. */

/**
 * Builds the key of a worker's limits. It contains the address, because a worker
 * at another address is another process with limits of its own.
 * @param service name of the service
 * @param failureDomain the worker's failure domain
 * @param workerId the worker's id within the place
 * @param address the worker's `host:port`
 * @returns the slot key
 */
export function buildSlotKey (service: string, failureDomain: string, workerId: string, address: string): string {
  return `${service}/${failureDomain}/${workerId}@${address}`
}

/**
 * Builds the key of a place, that is of a service's workers in one failure domain.
 * @param service name of the service
 * @param failureDomain the failure domain
 * @returns the place key
 */
export function buildPlaceKey (service: string, failureDomain: string): string {
  return `${service}/${failureDomain}`
}

/**
 * @param slotKey a key from {@link buildSlotKey}
 * @returns the key of the worker's place
 */
export function findPlaceKey (slotKey: string): string {
  return slotKey.slice(0, slotKey.lastIndexOf('/', slotKey.lastIndexOf('@')))
}
