/** Types of the untyped library json-merge-patch, as far as it is used. */
declare module 'json-merge-patch' {
  interface JsonMergePatch {
    /** Applies a patch; writes into the target and returns the result. */
    apply (target: unknown, patch: unknown): unknown
    /** Makes the patch that turns one document into another; undefined if they are equal. */
    readonly generate: (before: unknown, after: unknown) => unknown
  }
  const jsonMergePatch: JsonMergePatch
  export default jsonMergePatch
}
