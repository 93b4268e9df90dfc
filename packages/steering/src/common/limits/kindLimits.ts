/**
 * Divides the slots of a place between short calls and uploads. Uploads hold
 * their slots for long, so they never take all slots of a place with more than
 * one. Apart from that each kind may use what the other leaves idle.
 */
import { RequestKind } from '../configuration/configurationSchema.js'

/** A number for each kind of request. */
export type ByKind = Readonly<Record<RequestKind, number>>

/** Input of {@link computeKindLimits}. */
export interface KindDemand {
  /** Usable slots of the place, including those in use. */
  readonly slots: number
  /** Slots in use. */
  readonly inUse: ByKind
  /** Waiting requests. */
  readonly waiting: ByKind
  /** The kind of the request that started last; at a place with a single slot the kinds take turns. */
  readonly lastStarted: RequestKind
}

/** Fraction of the slots that is guaranteed to uploads while both kinds are waiting. */
const UPLOAD_SLOT_RATIO = 0.5

/**
 * Computes how many slots a kind is guaranteed while both kinds are waiting.
 * @param slots usable slots of a place
 * @param kind a kind of request
 * @returns the number of slots
 */
export function computeGuaranteedSlots (slots: number, kind: RequestKind): number {
  const uploads = Math.floor(slots * UPLOAD_SLOT_RATIO)
  return kind === RequestKind.Upload ? Math.max(uploads, slots === 1 ? 1 : 0) : slots - uploads
}

function computeSingleSlotLimits (demand: KindDemand): ByKind {
  const { inUse, waiting, lastStarted } = demand
  const isInUse = inUse[RequestKind.Call] + inUse[RequestKind.Upload] > 0
  if (isInUse) return inUse
  const areBothWaiting = waiting[RequestKind.Call] > 0 && waiting[RequestKind.Upload] > 0
  if (!areBothWaiting) return { [RequestKind.Call]: 1, [RequestKind.Upload]: 1 }
  const isCallNext = lastStarted === RequestKind.Upload
  return { [RequestKind.Call]: isCallNext ? 1 : 0, [RequestKind.Upload]: isCallNext ? 0 : 1 }
}

/**
 * Computes how many requests of each kind may run now. The two limits together
 * may exceed the number of slots, so they must be computed again after each
 * start of a request.
 * @param demand slots of the place, and the requests that use them or wait for them
 * @returns the limits by kind
 */
export function computeKindLimits (demand: KindDemand): ByKind {
  const { slots, inUse, waiting } = demand
  if (slots <= 0) return { [RequestKind.Call]: 0, [RequestKind.Upload]: 0 }
  if (slots === 1) return computeSingleSlotLimits(demand)
  const guaranteedUploads = computeGuaranteedSlots(slots, RequestKind.Upload)
  const uploadsInUse = inUse[RequestKind.Upload]
  const reservedForUploads = waiting[RequestKind.Upload] > 0 ? Math.max(0, guaranteedUploads - uploadsInUse) : 0
  const maxUploads = waiting[RequestKind.Call] > 0 ? guaranteedUploads : slots - 1
  return {
    [RequestKind.Call]: Math.max(0, slots - uploadsInUse - reservedForUploads),
    [RequestKind.Upload]: Math.max(0, Math.min(maxUploads, slots - inUse[RequestKind.Call]))
  }
}
