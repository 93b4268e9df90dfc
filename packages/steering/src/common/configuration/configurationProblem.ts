/** Errors in a configuration as they are reported to operators. */

/** One error in a configuration. */
export interface ConfigurationProblem {
  /** Names and indices joined by dots, like `services.escort-svc.places.x`; empty for the whole configuration. */
  readonly path: string
  /** A description of a valid value. */
  readonly expected: string
  /** The complete error message for operators, without the path. */
  readonly message: string
}
