/** The agreed plan of a service as it stands in the store and travels between daemons. */
import { z } from 'zod'
import type { Weights } from './servicePlan.js'

/** The agreed plan of one service; each version is one step. */
export interface PlanDocument {
  readonly service: string
  /** Grows by one with every step; 1 is the first plan. */
  readonly version: number
  /** The epoch of the lease under which the step was written. */
  readonly epoch: number
  /** The configuration that the step was planned by. */
  readonly configurationVersion: number
  /** Whether the step went by the operators' emergency cap. */
  readonly isEmergency: boolean
  /** Wall time of the step, for people; no decision compares it with another clock. */
  readonly steppedAtWallMs: number
  /** Failure domains that got their first traffic a while ago: wall time of that step. */
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
 * @returns the name of its agreed plan, in digests and, after the key prefix, in the store
 */
export function getPlanName (service: string): string {
  return `${PLAN_PREFIX}${service}`
}

/**
 * @param service a service's name
 * @returns the name under which a node tells which weights it uses
 */
export function getInForceName (service: string): string {
  return `${IN_FORCE_PREFIX}${service}`
}

/**
 * @param name a document's name
 * @returns the service whose agreed plan it is, or undefined
 */
export function parsePlanName (name: string): string | undefined {
  return name.startsWith(PLAN_PREFIX) ? name.slice(PLAN_PREFIX.length) : undefined
}

/**
 * @param name a document's name
 * @returns the service whose weights in force it tells, or undefined
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
 * @returns the plan, or undefined if it is damaged
 */
export function parsePlan (text: string): PlanDocument | undefined {
  return parseJson(text, planDocument)
}

/**
 * @param text JSON from a peer
 * @returns weights in force there, or undefined if damaged
 */
export function parseWeights (text: string): Weights | undefined {
  return parseJson(text, weights)
}
