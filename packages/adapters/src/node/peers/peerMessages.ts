/** Between the port's types and the peers' wire messages; ages and spans become instants here. */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, getRemainingMs } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { DocumentVersion } from '@umberspar/steering/common/membership/memberFacts'
import type { Digest, LoanAnswer, LoanRequest } from '@umberspar/steering/common/ports/peers'
import type { MemberReport } from '@umberspar/steering/common/membership/memberReport'
import type { AnnouncedState } from '@umberspar/steering/common/membership/memberFacts'
import { NodeState } from '@umberspar/steering/common/state/nodeState'
import type * as wire from '../generated/peer/peer.js'
import { NodeState as WireState } from '../generated/peer/peer.js'

const MAX_UINT32 = 0xffff_ffff

const WIRE_STATE_BY_STATE: Readonly<Record<AnnouncedState, WireState>> = {
  [NodeState.Joining]: WireState.NODE_STATE_JOINING,
  [NodeState.Live]: WireState.NODE_STATE_LIVE,
  [NodeState.Leaving]: WireState.NODE_STATE_LEAVING
}

const STATE_BY_WIRE_STATE: ReadonlyMap<WireState, AnnouncedState> = new Map([
  [WireState.NODE_STATE_JOINING, NodeState.Joining],
  [WireState.NODE_STATE_LIVE, NodeState.Live],
  [WireState.NODE_STATE_LEAVING, NodeState.Leaving]
])

/** Ages round up: a measurement must not look newer than it is. */
function encodeAgeMs (measuredAt: Instant, now: Instant): number {
  return Math.min(MAX_UINT32, Math.ceil(getRemainingMs(now, measuredAt)))
}

/** Spans round down: a deadline must not move away on the wire. */
function encodeRemainingMs (deadline: Instant, now: Instant): number {
  return Math.min(MAX_UINT32, Math.floor(getRemainingMs(deadline, now)))
}

/** @returns a document's version for the wire */
export function encodeVersion (document: DocumentVersion): wire.DocumentVersion {
  return { ...document, version: BigInt(document.version) }
}

/** @returns a document's version from the wire */
export function decodeVersion (document: wire.DocumentVersion): DocumentVersion {
  return { ...document, version: Number(document.version) }
}

function encodeReport<TReport extends { readonly measuredAt: Instant }> (report: TReport, now: Instant): Omit<TReport, 'measuredAt'> & { ageMs: number } {
  const { measuredAt, ...rest } = report
  return { ...rest, ageMs: encodeAgeMs(measuredAt, now) }
}

function decodeReport<TReport extends { ageMs: number }> (report: TReport, now: Instant): Omit<TReport, 'ageMs'> & { measuredAt: Instant } {
  const { ageMs, ...rest } = report
  return { ...rest, measuredAt: now - ageMs }
}

/** Zero on the wire says that there is no instant; a known age is sent one larger. */
function encodeOptionalAgeMs (instant: Instant | undefined, now: Instant): number {
  return instant === undefined ? 0 : Math.min(MAX_UINT32, encodeAgeMs(instant, now) + 1)
}

function decodeOptionalAgeMs (encodedAgeMs: number, now: Instant): Instant | undefined {
  return encodedAgeMs === 0 ? undefined : now - (encodedAgeMs - 1)
}

function encodeMember (report: MemberReport, now: Instant): wire.MemberReport {
  return {
    ...report,
    incarnation: BigInt(report.incarnation),
    beat: BigInt(report.beat),
    state: WIRE_STATE_BY_STATE[report.state],
    documents: report.documents.map(encodeVersion),
    demand: report.demand.map((demand) => encodeReport(demand, now))
  }
}

function decodeState (state: WireState, peer: string): AnnouncedState {
  const decoded = STATE_BY_WIRE_STATE.get(state)
  if (decoded === undefined) throw new StepError({ code: ErrorCode.Invalid, step: 'decode-digest', peer, message: `unknown node state ${state}` })
  return decoded
}

function decodeMember (report: wire.MemberReport, now: Instant, peer: string): MemberReport {
  return {
    ...report,
    incarnation: Number(report.incarnation),
    beat: Number(report.beat),
    state: decodeState(report.state, peer),
    documents: report.documents.map(decodeVersion),
    demand: report.demand.map((demand) => decodeReport(demand, now))
  }
}

/**
 * @param digest the own digest
 * @param now the present, to which ages refer
 * @returns the digest for the wire
 */
export function encodeDigest (digest: Digest, now: Instant): wire.Digest {
  const { confirmedAt, ...rest } = digest
  return {
    ...rest,
    beat: BigInt(digest.beat),
    members: digest.members.map((report) => encodeMember(report, now)),
    confirmedAgeMs: encodeOptionalAgeMs(confirmedAt, now),
    state: WIRE_STATE_BY_STATE[digest.state],
    incarnation: BigInt(digest.incarnation),
    documents: digest.documents.map(encodeVersion),
    workers: digest.workers.map((report) => encodeReport(report, now)),
    demand: digest.demand.map((report) => encodeReport(report, now))
  }
}

/**
 * NaN passes through every comparison and sum: one such report would upset the
 * choice among all workers of a place, and relayed on, at all nodes.
 */
function checkMeasurements (digest: wire.Digest, peer: string): void {
  const demand = [...digest.demand, ...digest.members.flatMap((report) => report.demand)]
  const values = [...digest.workers.map((report) => report.utilization), ...demand.map((report) => report.concurrency)]
  if (values.every((figure) => Number.isFinite(figure) && figure >= 0)) return
  throw new StepError({ code: ErrorCode.Invalid, step: 'decode-digest', peer, message: 'a reported figure is negative or no number' })
}

/**
 * @param digest a peer's digest
 * @param now the instant of its receipt
 * @param peer whose it is, for the error
 * @returns the digest on the own clock
 * @throws StepError `Invalid` if its state is unknown or a figure is no number of 0 or more
 */
export function decodeDigest (digest: wire.Digest, now: Instant, peer: string): Digest {
  checkMeasurements(digest, peer)
  const { confirmedAgeMs, ...rest } = digest
  return {
    ...rest,
    beat: Number(digest.beat),
    members: digest.members.map((report) => decodeMember(report, now, peer)),
    confirmedAt: decodeOptionalAgeMs(confirmedAgeMs, now),
    state: decodeState(digest.state, peer),
    incarnation: Number(digest.incarnation),
    documents: digest.documents.map(decodeVersion),
    workers: digest.workers.map((report) => decodeReport(report, now)),
    demand: digest.demand.map((report) => decodeReport(report, now))
  }
}

/** @returns a loan's request for the wire; its span counts from `now` */
export function encodeLoanRequest (request: LoanRequest, now: Instant): wire.LoanRequest {
  const { deadline, ...rest } = request
  return { ...rest, spanMs: encodeRemainingMs(deadline, now) }
}

/** @returns a loan's request on the lender's clock, received at `now` */
export function decodeLoanRequest (request: wire.LoanRequest, now: Instant): LoanRequest {
  const { spanMs, ...rest } = request
  return { ...rest, deadline: createDeadline(now, spanMs) }
}

/** @returns a loan's answer for the wire; its span counts from the receipt of the request */
export function encodeLoanAnswer (answer: LoanAnswer, receivedAt: Instant): wire.LoanAnswer {
  const { deadline, ...rest } = answer
  return { ...rest, spanMs: encodeRemainingMs(deadline, receivedAt) }
}

/** @returns a loan's answer on the borrower's clock, for a request sent at `sentAt` */
export function decodeLoanAnswer (answer: wire.LoanAnswer, sentAt: Instant): LoanAnswer {
  const { spanMs, ...rest } = answer
  return { ...rest, deadline: createDeadline(sentAt, spanMs) }
}
