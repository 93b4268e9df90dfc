/** Names that cannot serve as keys of a configuration. */

/**
 * A lookup by such a name finds what every JavaScript object inherits, and the
 * patch library passes over `constructor` together with the keys behind it.
 * @param name a key of a configuration or patch
 * @returns whether every JavaScript object has a field of this name
 */
export function isReservedName (name: string): boolean {
  return name === 'prototype' || name in Object.prototype
}
