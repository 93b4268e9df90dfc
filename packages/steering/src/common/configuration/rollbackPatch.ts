/** The patch that brings an earlier body back as a new version. */
import jsonMergePatch from 'json-merge-patch'

/**
 * Configurations hold no null, which a merge patch could not set; arrays that
 * differ are replaced as a whole.
 * @param present the body in force
 * @param earlier the body to come back to
 * @returns a JSON Merge Patch (RFC 7396); without fields if the two are equal
 */
export function computeRollbackPatch (present: object, earlier: object): Record<string, unknown> {
  return (jsonMergePatch.generate(present, earlier) ?? {}) as Record<string, unknown>
}
