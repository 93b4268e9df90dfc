/** The records of this VM as it publishes them to other VMs. */
import type { RecordUpdate } from '@umberspar/steering/common/entry/recordUpdate'
import type { StorePosition } from '@umberspar/steering/common/entry/storePosition'
import type { PublisherSource } from '../peers/recordPublisher.js'
import type { FreshnessTracker } from './freshnessTracker.js'
import type { ViewUpdater } from './viewUpdater.js'

/** Reads what is published from where it is kept. */
export class PublishedRecords implements PublisherSource {
  /**
   * @param viewUpdater the records
   * @param freshness how fresh they certainly are
   * @param getPath gets the VMs that they pass through
   */
  constructor (
    private readonly viewUpdater: ViewUpdater,
    private readonly freshness: FreshnessTracker,
    private readonly getPath: () => readonly string[] | undefined
  ) {}

  get position (): StorePosition {
    return this.viewUpdater.position
  }

  get hasUnconfirmed (): boolean {
    return this.viewUpdater.hasUnconfirmed
  }

  get via (): readonly string[] | undefined {
    return this.getPath()
  }

  get holdMs (): number {
    return this.viewUpdater.holdMs
  }

  get proofAgeMs (): number | undefined {
    return this.freshness.getPublishedAgeMs()
  }

  get configurationVersion (): number | undefined {
    return this.viewUpdater.configurationVersion
  }

  readUpdateAfter (position: StorePosition): RecordUpdate | undefined {
    return this.viewUpdater.readUpdateAfter(position)
  }
}
