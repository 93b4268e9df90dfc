/** The states of daemons in the membership. */

/** The state of an entry VM's daemon in the membership. */
export enum NodeState {
  /** Started but not ready, as it has no configuration or no share of the limits yet. */
  Joining = 'joining',
  /** Serves requests and is included in look-ups. */
  Live = 'live',
  /** Its heartbeats have been missing for some time, but it is still in the VM list. */
  Suspected = 'suspected',
  /** Excluded from look-ups, but still serves requests from callers with cached look-ups. */
  Leaving = 'leaving',
  /** Sends no heartbeats and is no longer in the VM list. */
  Gone = 'gone'
}
