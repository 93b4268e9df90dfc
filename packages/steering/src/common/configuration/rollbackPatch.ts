/** Computes the patch that restores an earlier configuration as a new version. */
import jsonMergePatch from 'json-merge-patch'

/**
 * Configurations never contain null, which a merge patch cannot set; arrays that
 * differ are replaced completely.
 * @param current the body of the current configuration
 * @param previous the body to restore
 * @returns a JSON Merge Patch (RFC 7396); an empty object if the two are equal
 */
export function computeRollbackPatch (current: object, previous: object): Record<string, unknown> {
  return (jsonMergePatch.generate(current, previous) ?? {}) as Record<string, unknown>
}
