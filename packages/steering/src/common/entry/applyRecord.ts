/** Applies records to the view, by their kind. */
import type { Instant } from '@umberspar/base/common/clock'
import type { EntryView } from './entryView.js'
import { type RecordChange, RecordKind, type SteeringRecord } from './records.js'
import { ViewChange, type ViewEvent } from './viewEvent.js'

/**
 * @param view the view to update
 * @param change the present and the previous record
 * @param now the current time
 * @returns the changes of the view
 */
export function applyRecord (view: EntryView, { record, previous }: RecordChange, now: Instant): ViewEvent[] {
  const kind = (record ?? previous)?.kind
  if (kind === undefined) return []
  // A newer entry VM may pass on kinds of records that this one does not know.
  const apply: RecordApplier | undefined = APPLIERS[kind]
  return apply?.(view, record, previous, now) ?? []
}

type RecordApplier = (view: EntryView, record: SteeringRecord | undefined, previous: SteeringRecord | undefined, now: Instant) => ViewEvent[]

const APPLIERS: Readonly<Record<RecordKind, RecordApplier>> = {
  [RecordKind.Document]: (view, record) => {
    if (record?.kind !== RecordKind.Document) return []
    view.setDocument(record.value)
    return [{ change: ViewChange.DocumentAdopted, subject: String(record.value.version), revision: record.revision }]
  },
  [RecordKind.Upstream]: (view, record, previous, now) => {
    if (record?.kind === RecordKind.Upstream) {
      const change = view.putUpstream(record.value, now)
      return change === undefined ? [] : [{ change, subject: record.value.id, revision: record.revision }]
    }
    if (previous?.kind !== RecordKind.Upstream) return []
    view.removeUpstream(previous.value.id, now)
    return [{ change: ViewChange.UpstreamLeft, subject: previous.value.id, revision: previous.revision }]
  },
  [RecordKind.Evacuation]: (view, record, previous, now) => {
    if (record?.kind === RecordKind.Evacuation) {
      view.putEvacuation(record.value)
      return [{ change: ViewChange.DomainEvacuated, subject: record.value, revision: record.revision }]
    }
    if (previous?.kind !== RecordKind.Evacuation) return []
    view.removeEvacuation(previous.value, now)
    return [{ change: ViewChange.DomainTakenBack, subject: previous.value, revision: previous.revision }]
  },
  [RecordKind.Node]: (view, record, previous, now) => {
    if (record?.kind === RecordKind.Node) {
      view.putNode(record.value, now)
      return [{ change: ViewChange.NodeJoined, subject: record.value.name, revision: record.revision }]
    }
    if (previous?.kind !== RecordKind.Node) return []
    view.removeNode(previous.value.name, now)
    return [{ change: ViewChange.NodeLeft, subject: previous.value.name, revision: previous.revision }]
  },
  [RecordKind.Share]: (view, record, previous) => {
    if (record?.kind === RecordKind.Share) {
      view.shares.set(record.value.share, { owner: record.value, revision: record.revision })
      return [{ change: ViewChange.ShareClaimed, subject: record.value.share, revision: record.revision, reason: record.value.node }]
    }
    if (previous?.kind !== RecordKind.Share) return []
    view.shares.delete(previous.value.share)
    return [{ change: ViewChange.ShareFreed, subject: previous.value.share, revision: previous.revision }]
  },
  [RecordKind.CrashReports]: (view, record, previous) => {
    if (record?.kind === RecordKind.CrashReports) {
      view.crashReports.set(record.value.node, record)
      return [{ change: ViewChange.CrashesReported, subject: record.value.node, revision: record.revision }]
    }
    if (previous?.kind !== RecordKind.CrashReports) return []
    view.crashReports.delete(previous.value.node)
    return [{ change: ViewChange.CrashReportsRemoved, subject: previous.value.node, revision: previous.revision }]
  },
  [RecordKind.Quarantine]: (view, record, previous) => {
    if (record?.kind === RecordKind.Quarantine) {
      view.quarantines.set(record.value.digest, record)
      return [{ change: ViewChange.RequestQuarantined, subject: record.value.digest, revision: record.revision }]
    }
    if (previous?.kind !== RecordKind.Quarantine) return []
    view.quarantines.delete(previous.value.digest)
    return [{ change: ViewChange.RequestReleased, subject: previous.value.digest, revision: previous.revision }]
  },
  [RecordKind.Member]: (view, record, previous, now) => {
    if (record?.kind === RecordKind.Member) {
      view.sharers.putMember(record, now)
      return [{ change: ViewChange.MemberJoined, subject: record.value.name, revision: record.revision }]
    }
    if (previous?.kind !== RecordKind.Member) return []
    view.sharers.removeMember(previous.value.name, now)
    return [{ change: ViewChange.MemberLeft, subject: previous.value.name, revision: previous.revision }]
  },
  [RecordKind.RateLimit]: (view, record, previous, now) => {
    if (record?.kind === RecordKind.RateLimit) {
      view.rateLimits.put(record, now)
      return [{ change: ViewChange.RateLimitReported, subject: record.value.workerId, revision: record.revision }]
    }
    if (previous?.kind !== RecordKind.RateLimit) return []
    view.rateLimits.remove(previous, now)
    return [{ change: ViewChange.RateLimitEnded, subject: previous.value.workerId, revision: previous.revision }]
  },
  [RecordKind.Unreadable]: (view, record, previous, now) => {
    if (record?.kind !== RecordKind.Unreadable) return []
    const events = previous === undefined || previous.kind === RecordKind.Unreadable ? [] : view.applyChange({ record: undefined, previous }, now)
    return [{ change: ViewChange.RecordUnreadable, subject: record.key, revision: record.revision, reason: record.value }, ...events]
  }
}
