/** Converts between the types of the peer port and the wire messages. Instants are sent as ages, deadlines as remaining time. */
import type { Instant } from '@umberspar/base/common/clock'
import { createDeadline, getRemainingMs } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { DocumentVersion } from '@umberspar/steering/common/membership/memberFacts'
import type { Heartbeat, LoanAnswer, LoanRequest } from '@umberspar/steering/common/ports/peers'
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

/** Rounds up, so that a measurement never looks newer than it is. */
function encodeAgeMs (measuredAt: Instant, now: Instant): number {
  return Math.min(MAX_UINT32, Math.ceil(getRemainingMs(now, measuredAt)))
}

/** Rounds down, so that a deadline never becomes later on the wire. */
function encodeRemainingMs (deadline: Instant, now: Instant): number {
  return Math.min(MAX_UINT32, Math.floor(getRemainingMs(deadline, now)))
}

/** @returns the wire form of a document's version */
export function encodeVersion (document: DocumentVersion): wire.DocumentVersion {
  return { ...document, version: BigInt(document.version) }
}

/** @returns a document's version, decoded from its wire form */
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

/** On the wire, 0 stands for a missing instant, so a known age is sent increased by 1. */
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
 * @param digest this node's digest
 * @param now the current instant, which ages count back from
 * @returns the digest's wire form
 */
export function encodeDigest (digest: Heartbeat, now: Instant): wire.Digest {
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
 * Rejects NaN, infinite and negative values. Every comparison with NaN is false and
 * every sum with it is NaN. A single such report would disturb the choice among all
 * workers of an upstream in a failure domain and, relayed by gossip, would do so on all nodes.
 */
function checkMeasurements (digest: wire.Digest, peer: string): void {
  const demand = [...digest.demand, ...digest.members.flatMap((report) => report.demand)]
  const values = [...digest.workers.map((report) => report.utilization), ...demand.map((report) => report.concurrency)]
  if (values.every((figure) => Number.isFinite(figure) && figure >= 0)) return
  throw new StepError({ code: ErrorCode.Invalid, step: 'decode-digest', peer, message: 'a reported value is negative or not a finite number' })
}

/**
 * @param digest a peer's digest
 * @param now when it was received
 * @param peer the peer's address, for errors
 * @returns the digest, with its instants on the local clock
 * @throws StepError `Invalid` if a state is unknown, or a value is negative or not a finite number
 */
export function decodeDigest (digest: wire.Digest, now: Instant, peer: string): Heartbeat {
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

/** @returns the wire form of a loan request; its duration counts from `now` */
export function encodeLoanRequest (request: LoanRequest, now: Instant): wire.LoanRequest {
  const { deadline, ...rest } = request
  return { ...rest, spanMs: encodeRemainingMs(deadline, now) }
}

/** @returns a loan request received at `now`, with its deadline on the lender's clock */
export function decodeLoanRequest (request: wire.LoanRequest, now: Instant): LoanRequest {
  const { spanMs, ...rest } = request
  return { ...rest, deadline: createDeadline(now, spanMs) }
}

/** @returns the wire form of the response to a loan request; its duration counts from the receipt of the request */
export function encodeLoanAnswer (answer: LoanAnswer, receivedAt: Instant): wire.LoanAnswer {
  const { deadline, ...rest } = answer
  return { ...rest, spanMs: encodeRemainingMs(deadline, receivedAt) }
}

/** @returns the response to a loan request sent at `sentAt`, with its deadline on the borrower's clock */
export function decodeLoanAnswer (answer: wire.LoanAnswer, sentAt: Instant): LoanAnswer {
  const { spanMs, ...rest } = answer
  return { ...rest, deadline: createDeadline(sentAt, spanMs) }
}
