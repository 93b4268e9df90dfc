/** What operators are told of a fault in a configuration. */

/** One fault of a configuration. */
export interface ConfigurationProblem {
  /** Names and indices joined by dots, like `services.escort-svc.places.x`; empty for the whole. */
  readonly path: string
  /** What should stand there. */
  readonly expected: string
  /** A whole sentence for operators, without the path. */
  readonly message: string
}
