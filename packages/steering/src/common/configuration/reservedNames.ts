/** Names that cannot be used as keys of a configuration. */

/**
 * Reading a reserved key returns what every JavaScript object inherits, and the
 * patch library ignores `constructor` together with all keys after it.
 * @param name a key of a configuration or patch
 * @returns whether every JavaScript object has a property of this name
 */
export function isReservedName (name: string): boolean {
  return name === 'prototype' || name in Object.prototype
}
