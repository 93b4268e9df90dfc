/** Types for the functions of the untyped library json-merge-patch that are used here. */
declare module 'json-merge-patch' {
  interface JsonMergePatch {
    /** Applies a patch; modifies the target and returns the result. */
    apply (target: unknown, patch: unknown): unknown
    /** Returns the patch that turns one document into another; undefined if they are equal. */
    readonly generate: (before: unknown, after: unknown) => unknown
  }
  const jsonMergePatch: JsonMergePatch
  export default jsonMergePatch
}
