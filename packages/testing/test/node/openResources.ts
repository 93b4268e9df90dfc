/** What this process has open. */

/** The numbers of open connections and timers. */
export interface OpenResources {
  readonly connections: number
  readonly timers: number
}

/** @returns the numbers of open connections and timers of this process */
export function countOpenResources (): OpenResources {
  const resources = process.getActiveResourcesInfo()
  return { connections: resources.filter((name) => name.startsWith('TCP')).length, timers: resources.filter((name) => name === 'Timeout').length }
}
