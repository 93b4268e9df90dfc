/** The agreed plan of a service: the document that the lease holder writes to the store and that daemons exchange. */
import { z } from 'zod'
import type { Weights } from './servicePlan.js'

/** The agreed plan of one service; each version is one step toward the target weights. */
export interface PlanDocument {
  readonly service: string
  /** Increases by one with every step, from 1 for the first plan. */
  readonly version: number
  /** The epoch of the lease under which the step was written. */
  readonly epoch: number
  /** The version of the configuration that the step is based on. */
  readonly configurationVersion: number
  /** Whether the emergency cap limited the step, not the planned cap. */
  readonly isEmergency: boolean
  /** Wall-clock time of the step, for display only; no decision compares it with another clock. */
  readonly steppedAtWallMs: number
  /** Wall-clock time at which failure domains that are still warming up received their first traffic. */
  readonly warmingFromWallMs: Readonly<Record<string, number>>
  readonly weights: Weights
}

const weights = z.record(z.string(), z.record(z.string(), z.number().min(0).max(1)))

const planDocument = z.strictObject({
  service: z.string(),
  version: z.number().int().min(1),
  epoch: z.number().int().min(0),
  configurationVersion: z.number().int().min(0),
  isEmergency: z.boolean(),
  steppedAtWallMs: z.number(),
  warmingFromWallMs: z.record(z.string(), z.number()),
  weights
})

const PLAN_PREFIX = 'plan/'
const IN_FORCE_PREFIX = 'plan-in-force/'

/**
 * @param service a service's name
 * @returns the document name of its agreed plan, used in digests and, after the key prefix, in the store
 */
export function getPlanName (service: string): string {
  return `${PLAN_PREFIX}${service}`
}

/**
 * @param service a service's name
 * @returns the document name under which a node reports the weights that it uses
 */
export function getInForceName (service: string): string {
  return `${IN_FORCE_PREFIX}${service}`
}

/**
 * @param name a document's name
 * @returns the service whose agreed plan has this name, or undefined for another document
 */
export function parsePlanName (name: string): string | undefined {
  return name.startsWith(PLAN_PREFIX) ? name.slice(PLAN_PREFIX.length) : undefined
}

/**
 * @param name a document's name
 * @returns the service whose weights in force have this name, or undefined for another document
 */
export function parseInForceName (name: string): string | undefined {
  return name.startsWith(IN_FORCE_PREFIX) ? name.slice(IN_FORCE_PREFIX.length) : undefined
}

function parseJson<T> (text: string, schema: z.ZodType<T>): T | undefined {
  try {
    const parsed = schema.safeParse(JSON.parse(text))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}

/**
 * @param text JSON from the store or a peer
 * @returns the plan, or undefined if the text is not a valid plan
 */
export function parsePlan (text: string): PlanDocument | undefined {
  return parseJson(text, planDocument)
}

/**
 * @param text JSON from a peer
 * @returns the weights in force at the peer, or undefined if the text is not valid
 */
export function parseWeights (text: string): Weights | undefined {
  return parseJson(text, weights)
}
