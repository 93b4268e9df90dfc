/** The states of an entry VM's daemon in the membership. */

/** What a daemon may be given to do. */
export enum NodeState {
  /** Started, but not ready: it has no configuration yet or no part of the limits. */
  Joining = 'joining',
  /** Serves, and is named in look-ups. */
  Live = 'live',
  /** Not heard of for a while; the VM list still has it. */
  Suspected = 'suspected',
  /** Serves what comes from cached look-ups, and is named in none. */
  Leaving = 'leaving',
  /** Neither heard of nor listed any more. */
  Gone = 'gone'
}
