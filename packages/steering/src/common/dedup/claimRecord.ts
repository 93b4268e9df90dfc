/** What the store holds for one Idempotency-Key of a service. */
import { z } from 'zod'

/** How far the claimed request has come. */
export enum ClaimState {
  /** The claiming node may send it, or has. */
  Running = 'running',
  /** An upstream's answer was passed on. */
  Done = 'done',
  /** Proven not to have run: the key may be claimed again. */
  NotRun = 'not-run',
  /** It may have run, and nobody will learn more. */
  Unknown = 'unknown'
}

const claimSchema = z.object({
  /** Random, one for each arrival: tells our own claim when its answer was lost. */
  claimId: z.string().min(1),
  /** Hash of method and path. */
  fingerprint: z.string(),
  nodeId: z.string(),
  /** The claiming process; a restarted node has a higher one. */
  incarnation: z.number(),
  state: z.enum(ClaimState),
  /** Wall time by which the request has ended if its node lives. */
  endsByWallMs: z.number(),
  /** The upstream's status, once done. */
  status: z.number().int().optional()
})

/** One claim. */
export type ClaimRecord = z.output<typeof claimSchema>

/**
 * @param record a claim
 * @returns the store's value
 */
export function encodeClaim (record: ClaimRecord): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(record))
}

/**
 * @param value the store's value
 * @returns the claim, or undefined if the value is none
 */
export function decodeClaim (value: Uint8Array): ClaimRecord | undefined {
  try {
    return claimSchema.parse(JSON.parse(new TextDecoder().decode(value)))
  } catch {
    return undefined
  }
}

/**
 * @param keyPrefix the deployment's prefix, ending in `/`
 * @param service a service's name
 * @param keyHash hash of the caller's Idempotency-Key, proof against collisions made on purpose
 * @returns the store's key of the claim
 */
export function buildClaimKey (keyPrefix: string, service: string, keyHash: string): string {
  return `${keyPrefix}dedup/${service}/${keyHash}`
}
