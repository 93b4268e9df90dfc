/**
 * Positions in the history of the store. A store that comes back from an older copy begins a new
 * era, in which it gives out again the revisions that were lost; so revisions are only comparable
 * within one era.
 */

/** A state of the store. */
export interface StorePosition {
  /** How often the store has come back from an older copy, counted by the store; 0 if it does not say. */
  readonly era: number
  readonly revision: number
}

/** The position of a VM that has read nothing yet. */
export const NO_POSITION: StorePosition = { era: 0, revision: 0 }

/**
 * @param position a position
 * @param other another position
 * @returns whether everything that was written up to the other position is certain to be known at this one
 */
export function hasReachedPosition (position: StorePosition, other: StorePosition): boolean {
  return position.era === other.era && position.revision >= other.revision
}

/**
 * @param position a position
 * @param other another position
 * @returns whether the position is later: in a later era, or later in the same one
 */
export function isLaterPosition (position: StorePosition, other: StorePosition): boolean {
  return position.era === other.era ? position.revision > other.revision : position.era > other.era
}

/**
 * @param previous the position that a VM had
 * @param position the position that it has now
 * @returns whether the store has come back from an older copy in between
 */
export function isEraStart (previous: StorePosition, position: StorePosition): boolean {
  return position.era !== previous.era && previous.revision > NO_POSITION.revision
}
