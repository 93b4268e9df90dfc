/** The targets of a drain, and the patch that adds a target to the configuration's `drains` or removes it. */
import { isJsonObject, toText, toTexts } from './jsonValue.js'
import type { JsonObject } from './jsonValue.js'

/** The kind of a drain's target; the values are those of the operators' API. */
export enum DrainKind {
  FailureDomain = 'failure-domain',
  Region = 'region',
  /** One service in one failure domain. */
  Place = 'place'
}

/** Whether to move traffic away from the target or back to it. */
export enum DrainDirection {
  Drain = 'drain',
  Undrain = 'undrain'
}

/** A failure domain, a region, or one service in one failure domain. */
export type DrainTarget =
  | { readonly kind: DrainKind.FailureDomain, readonly name: string }
  | { readonly kind: DrainKind.Region, readonly name: string }
  | { readonly kind: DrainKind.Place, readonly service: string, readonly failureDomain: string }

/** An element of one of the arrays in the configuration's `drains`. */
type DrainElement = string | { readonly service: string, readonly failureDomain: string }

/** The field of `drains` that lists targets of a kind. */
const FIELD_BY_KIND: Readonly<Record<DrainKind, string>> = {
  [DrainKind.FailureDomain]: 'failureDomains',
  [DrainKind.Region]: 'regions',
  [DrainKind.Place]: 'places'
}

function decodePlaces (value: unknown): readonly DrainElement[] {
  if (!Array.isArray(value)) return []
  return value.filter(isJsonObject).map((item) => ({
    service: toText(item.service) ?? '',
    failureDomain: toText(item.failureDomain) ?? ''
  }))
}

const DECODE_BY_KIND: Readonly<Record<DrainKind, (value: unknown) => readonly DrainElement[]>> = {
  [DrainKind.FailureDomain]: toTexts,
  [DrainKind.Region]: toTexts,
  [DrainKind.Place]: decodePlaces
}

function getElement (target: DrainTarget): DrainElement {
  if (target.kind !== DrainKind.Place) return target.name
  return { service: target.service, failureDomain: target.failureDomain }
}

function getElementName (element: DrainElement): string {
  return typeof element === 'string' ? element : `${element.service}/${element.failureDomain}`
}

/**
 * @param target the target of a drain
 * @returns its name as in the answer of `/v1/drains`; a place is `SERVICE/FAILURE-DOMAIN`
 */
export function getTargetName (target: DrainTarget): string {
  return getElementName(getElement(target))
}

const BUILD_ELEMENTS_BY_DIRECTION: Readonly<Record<DrainDirection, (others: readonly DrainElement[], element: DrainElement) => readonly DrainElement[]>> = {
  [DrainDirection.Drain]: (others, element) => [...others, element],
  [DrainDirection.Undrain]: (others) => others
}

/**
 * Builds the JSON Merge Patch for one target. RFC 7396 replaces an array as a
 * whole, so the patch holds the complete new array for the target's kind and is
 * correct only against the version of the given body.
 * @param body the configuration that the patch is made against
 * @param target what to drain or undrain
 * @param direction whether to drain or undrain it
 * @returns the patch, or undefined if the target is already drained or undrained as wanted
 */
export function buildDrainPatch (body: JsonObject, target: DrainTarget, direction: DrainDirection): JsonObject | undefined {
  const drains = isJsonObject(body.drains) ? body.drains : {}
  const field = FIELD_BY_KIND[target.kind]
  const current = DECODE_BY_KIND[target.kind](drains[field])
  const targetName = getTargetName(target)
  const others = current.filter((element) => getElementName(element) !== targetName)
  const isDrained = others.length < current.length
  if (isDrained === (direction === DrainDirection.Drain)) return undefined
  return { drains: { [field]: BUILD_ELEMENTS_BY_DIRECTION[direction](others, getElement(target)) } }
}
