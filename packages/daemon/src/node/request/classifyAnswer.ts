/** Tells an upstream's explicit refusal from an answer that has to be passed on. */
import type { RefusalConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'

/** Header by which a worker says that it drains. */
export const DRAINING_HEADER = 'umberspar-draining'

/**
 * @param status the answer's status
 * @param headers the answer's headers, names in lower case
 * @param refusal the refusal configured for the service
 * @returns whether the upstream says that it did not run the request
 */
export function isRefusal (status: number, headers: Readonly<Record<string, string | string[]>>, refusal: RefusalConfiguration): boolean {
  return status === refusal.status && headers[refusal.header.toLowerCase()] === refusal.value
}
