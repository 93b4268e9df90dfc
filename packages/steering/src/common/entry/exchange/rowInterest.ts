/** Which failure domains need the rows about a worker: those of its region, and those whose VMs use it. */
import type { Instant } from '@umberspar/base/common/clock'

/** A failure domain whose VMs wrote a row about a subject needs its rows for this long. */
const INTEREST_MS = 10_000
/** Limit on subjects; the oldest is forgotten first. */
const MAX_SUBJECTS = 20_000

/** The interest in subjects, as one VM has seen it. */
export class RowInterest {
  private readonly writtenAt = new Map<string, Map<string, Instant>>()

  /** @param regionByDomain all failure domains with their regions */
  constructor (private readonly regionByDomain: ReadonlyMap<string, string>) {}

  /**
   * Records that a VM of a failure domain wrote a row.
   * @param subject the key of the row
   * @param domain the writer's failure domain
   * @param now when it was written
   */
  record (subject: string, domain: string, now: Instant): void {
    let domains = this.writtenAt.get(subject)
    if (domains === undefined) {
      domains = new Map()
      this.writtenAt.set(subject, domains)
      if (this.writtenAt.size > MAX_SUBJECTS) this.writtenAt.delete(this.writtenAt.keys().next().value as string)
    }
    domains.set(domain, now)
  }

  /**
   * @param domain a failure domain
   * @param subject the key of a row
   * @param subjectDomain the failure domain of the subject; undefined if it is not known
   * @param now the current time
   * @returns whether the domain's VMs need the row
   */
  isWantedIn (domain: string, subject: string, subjectDomain: string | undefined, now: Instant): boolean {
    if (subjectDomain !== undefined && this.regionByDomain.get(subjectDomain) === this.regionByDomain.get(domain)) return true
    const at = this.writtenAt.get(subject)?.get(domain)
    return at !== undefined && now - at <= INTEREST_MS
  }
}
