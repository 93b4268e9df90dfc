/**
 * How a place's slots are divided between short calls and uploads. An upload
 * holds what it got for long, so uploads never take the last slot of several;
 * apart from that either kind may use what the other leaves idle.
 */
import { RequestKind } from '../configuration/configurationSchema.js'

/** One number for each kind of request. */
export type ByKind = Readonly<Record<RequestKind, number>>

/** What the limits are computed from. */
export interface KindDemand {
  /** Slots of the place that may be used now, taken ones included. */
  readonly slots: number
  readonly inUse: ByKind
  readonly waiting: ByKind
  /** The kind that started last; decides who is next where one slot is all there is. */
  readonly lastStarted: RequestKind
}

/** The part of the slots that uploads are sure of when both kinds wait. */
const UPLOAD_PART = 0.5

/**
 * @param slots slots of a place
 * @param kind a kind of request
 * @returns the slots that this kind gets of the other when both wait
 */
export function computeShare (slots: number, kind: RequestKind): number {
  const uploads = Math.floor(slots * UPLOAD_PART)
  return kind === RequestKind.Upload ? Math.max(uploads, slots === 1 ? 1 : 0) : slots - uploads
}

function computeSingleSlot (demand: KindDemand): ByKind {
  const { inUse, waiting, lastStarted } = demand
  const isTaken = inUse[RequestKind.Call] + inUse[RequestKind.Upload] > 0
  if (isTaken) return inUse
  const hasBoth = waiting[RequestKind.Call] > 0 && waiting[RequestKind.Upload] > 0
  if (!hasBoth) return { [RequestKind.Call]: 1, [RequestKind.Upload]: 1 }
  const isCallNext = lastStarted === RequestKind.Upload
  return { [RequestKind.Call]: isCallNext ? 1 : 0, [RequestKind.Upload]: isCallNext ? 0 : 1 }
}

/**
 * @param demand slots, and what uses them and waits for them
 * @returns how many of each kind may run now; to be asked again after each start, the two together may exceed the slots
 */
export function computeKindLimits (demand: KindDemand): ByKind {
  const { slots, inUse, waiting } = demand
  if (slots <= 0) return { [RequestKind.Call]: 0, [RequestKind.Upload]: 0 }
  if (slots === 1) return computeSingleSlot(demand)
  const share = computeShare(slots, RequestKind.Upload)
  const uploads = inUse[RequestKind.Upload]
  const kept = waiting[RequestKind.Upload] > 0 ? Math.max(0, share - uploads) : 0
  const mostUploads = waiting[RequestKind.Call] > 0 ? share : slots - 1
  return {
    [RequestKind.Call]: Math.max(0, slots - uploads - kept),
    [RequestKind.Upload]: Math.max(0, Math.min(mostUploads, slots - inUse[RequestKind.Call]))
  }
}
