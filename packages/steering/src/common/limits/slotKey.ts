/** Names of limits as entry VMs agree on them. */

/**
 * A worker that was moved is another process with limits of its own; therefore
 * the address belongs to the name.
 * @param service the service
 * @param failureDomain the worker's failure domain
 * @param workerId its id in the place
 * @param address its `host:port`
 * @returns the name of the worker's slots
 */
export function buildSlotKey (service: string, failureDomain: string, workerId: string, address: string): string {
  return `${service}/${failureDomain}/${workerId}@${address}`
}

/**
 * @param service the service
 * @param failureDomain the failure domain
 * @returns the name of the place's own limit
 */
export function buildPlaceKey (service: string, failureDomain: string): string {
  return `${service}/${failureDomain}`
}

/**
 * @param slotKey from `buildSlotKey`
 * @returns the place it belongs to
 */
export function findPlaceKey (slotKey: string): string {
  return slotKey.slice(0, slotKey.lastIndexOf('/', slotKey.lastIndexOf('@')))
}
