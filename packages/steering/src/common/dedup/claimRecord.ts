/** The record that the store holds for one Idempotency-Key of a service. */
import { z } from 'zod'

/** The state of a claimed request. */
export enum ClaimState {
  /** The claiming node may send it or has sent it. */
  Running = 'running',
  /** An upstream answered, and its answer was forwarded to the caller. */
  Done = 'done',
  /** Known not to have run: the key may be claimed again. */
  NotRun = 'not-run',
  /** It may have run; its outcome can't be determined any more. */
  Unknown = 'unknown'
}

const claimSchema = z.object({
  /** Random and unique to each request; identifies a claim of one's own after the answer to its write was lost. */
  claimId: z.string().min(1),
  /** Hash of method and path. */
  fingerprint: z.string(),
  nodeId: z.string(),
  /** Identifies the claiming process; increases with every start of the node. */
  incarnation: z.number(),
  state: z.enum(ClaimState),
  /** Wall clock time by which the request has ended, unless its node failed. */
  endsByWallMs: z.number(),
  /** The upstream's status code, if the request is done. */
  status: z.number().int().optional()
})

/** A claim as stored. */
export type ClaimRecord = z.output<typeof claimSchema>

/**
 * @param record a claim
 * @returns the value to store
 */
export function encodeClaim (record: ClaimRecord): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(record))
}

/**
 * @param value a stored value
 * @returns the claim; undefined if the value is not a valid claim
 */
export function decodeClaim (value: Uint8Array): ClaimRecord | undefined {
  try {
    return claimSchema.parse(JSON.parse(new TextDecoder().decode(value)))
  } catch {
    return undefined
  }
}

/**
 * @param keyPrefix prefix of all keys of the deployment, ending in `/`
 * @param service name of the service
 * @param keyHash collision-resistant hash of the caller's Idempotency-Key
 * @returns the claim's key in the store
 */
export function buildClaimKey (keyPrefix: string, service: string, keyHash: string): string {
  return `${keyPrefix}dedup/${service}/${keyHash}`
}
