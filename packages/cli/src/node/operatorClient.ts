/** The operators' calls to a fleet of daemons, any of which may be down. */
import type { IClock, Instant } from '@umberspar/base/common/clock'
import { createDeadline, getRemainingMs, hasPassed } from '@umberspar/base/common/deadline'
import type { Deadline } from '@umberspar/base/common/deadline'
import { ErrorCode } from '@umberspar/base/common/errors'
import { Err, Ok } from '@umberspar/base/common/result'
import type { Result } from '@umberspar/base/common/result'
import type { IClosable } from '@umberspar/base/common/closing'
import type { ConfigurationHead } from '@umberspar/steering/common/configuration/versionedConfiguration'
import type { LookupAnswer } from '@umberspar/steering/common/lookup/decideLookup'
import type { JsonObject } from '../common/jsonValue.js'
import { OperatorError } from '../common/operatorError.js'
import { decodePrediction, type DrainPrediction } from '../common/drainPrediction.js'
import * as messages from '../common/operatorMessages.js'
import type { ClientTls } from './clientTls.js'
import { CallKind, HttpTransport } from './httpTransport.js'
import type { HttpCall } from './httpTransport.js'

/** A result of a call to a daemon. */
export type Answer<T> = Promise<Result<T, OperatorError>>

/** A change as it is sent. */
export interface PatchRequest {
  readonly baseVersion: number
  readonly changeId: string
  readonly patch: JsonObject
  readonly note: string
}

/** A patch to be checked against a version. */
export interface ValidationRequest {
  readonly baseVersion: number
  readonly patch: JsonObject
}

type AnyDaemonCall = Omit<HttpCall, 'peer' | 'deadline'>
type Decode<T> = (value: unknown) => T | undefined

/** Parts of the remaining time kept back after the last attempt: a write's lost answer takes time to settle. */
const RESERVED_SHARES: Readonly<Record<CallKind, number>> = {
  [CallKind.Read]: 0,
  [CallKind.Write]: 1
}

/** Errors after which another daemon may do better; every other error is final. */
const TRY_NEXT_CODES: ReadonlySet<ErrorCode> = new Set([ErrorCode.Unavailable, ErrorCode.DeadlinePassed])

/** Talks to the operators' listeners within one deadline. */
export class OperatorClient implements IClosable {
  private readonly transport: HttpTransport
  /** The daemon to begin with: the last that answered, or the one after the last that failed. */
  private first = 0

  /**
   * @param daemons `host:port` of operators' listeners, at least one
   * @param clock the source of time
   * @param deadline by which the whole command must end
   * @param tls CA and client certificate; plain text if left out
   */
  constructor (
    private readonly daemons: readonly string[],
    private readonly clock: IClock,
    readonly deadline: Deadline,
    tls?: ClientTls
  ) {
    this.transport = new HttpTransport(clock, tls)
  }

  /** @returns the configuration in force at the daemon that answers */
  readConfiguration (): Answer<messages.ConfigurationAnswer> {
    return this.callAny({ kind: CallKind.Read, step: 'read-configuration', path: '/v1/config' }, messages.decodeConfiguration)
  }

  /** @returns a configuration kept in the history */
  readConfigurationVersion (version: number): Answer<messages.ConfigurationAnswer> {
    const path = `/v1/config/versions/${version}`
    return this.callAny({ kind: CallKind.Read, step: 'read-configuration-version', path }, messages.decodeConfiguration)
  }

  /** @returns the accepted changes that are kept */
  listHistory (): Answer<readonly messages.HistoryEntry[]> {
    return this.callAny({ kind: CallKind.Read, step: 'list-history', path: '/v1/config/history' }, messages.decodeHistory)
  }

  /** @returns whether a daemon would accept the patch, and which fields break rules; nothing is written */
  async validatePatch (body: ValidationRequest): Answer<messages.ValidationAnswer> {
    const path = '/v1/config/validate'
    const answer = await this.callAny({ kind: CallKind.Read, step: 'validate-patch', path, body }, messages.decodeValidation)
    if (answer.ok) return answer
    // A daemon may name the faulty fields in a problem document, as it does for a patch that is applied.
    const problems = answer.val.problem?.problems ?? []
    return problems.length === 0 ? answer : Ok({ valid: false, problems })
  }

  /** @returns what the patch's drains would do under the demand measured now; nothing is written */
  predictDrain (body: ValidationRequest): Answer<DrainPrediction> {
    return this.callAny({ kind: CallKind.Read, step: 'predict-drain', path: '/v1/drains/predict', body }, decodePrediction)
  }

  /**
   * Sends a change until a daemon gives a definite answer. It goes on to another
   * daemon only after a proven failure without effect; a lost answer ends with
   * `EffectUnknown` at once.
   * @param body the change
   * @returns the new head
   */
  sendPatch (body: PatchRequest): Answer<ConfigurationHead> {
    return this.callAny({ kind: CallKind.Write, step: 'send-patch', path: '/v1/config/patches', body }, messages.decodePatchAnswer)
  }

  /** @returns all nodes that the answering daemon knows */
  listFleet (): Answer<readonly messages.FleetNode[]> {
    return this.callAny({ kind: CallKind.Read, step: 'list-fleet', path: '/v1/fleet' }, messages.decodeFleet)
  }

  /** @returns the configuration version in force at one node */
  readVersionInForce (peer: string, until: Deadline): Answer<number> {
    return this.callNode(peer, 'read-status', '/v1/status', until, messages.decodeVersionInForce)
  }

  /** @returns one node's progress with all drains */
  listDrains (peer: string, until: Deadline): Answer<readonly messages.NodeDrain[]> {
    return this.callNode(peer, 'list-drains', '/v1/drains', until, messages.decodeDrains)
  }

  /** @returns what one node counted for its burn report, decoded by the caller */
  readBurn<T> (peer: string, until: Deadline, decode: Decode<T>): Answer<T> {
    return this.callNode(peer, 'read-burn', '/v1/burn', until, decode)
  }

  /**
   * @param peer `host:port` of a callers' listener
   * @param service the service
   * @param clientAddress looks up on behalf of this IP number; believed only if the daemon trusts this machine
   * @returns the entry VMs to use
   */
  lookUp (peer: string, service: string, clientAddress: string | undefined): Answer<LookupAnswer> {
    const path = `/v1/lookup?service=${encodeURIComponent(service)}`
    const headers: Readonly<Record<string, string>> = clientAddress === undefined ? {} : { 'x-forwarded-for': clientAddress }
    return this.transport.call({ kind: CallKind.Read, step: 'look-up', peer, path, headers, deadline: this.deadline }, messages.decodeLookup)
  }

  /** @returns the present */
  getNow (): Instant {
    return this.clock.now()
  }

  async close (): Promise<void> {
    await this.transport.close()
  }

  private callNode<T> (peer: string, step: string, path: string, until: Deadline, decode: Decode<T>): Answer<T> {
    const deadline = Math.min(until, this.deadline)
    return this.transport.call({ kind: CallKind.Read, step, peer, path, deadline }, decode)
  }

  private async callAny<T> (call: AnyDaemonCall, decode: Decode<T>): Answer<T> {
    const failures: OperatorError[] = []
    for (let left = this.daemons.length; left > 0; left--) {
      const peer = this.daemons[this.first % this.daemons.length] ?? ''
      const deadline = this.computeAttemptDeadline(left + RESERVED_SHARES[call.kind])
      const answer = await this.transport.call({ ...call, peer, deadline }, decode)
      if (answer.ok) return answer
      if (!TRY_NEXT_CODES.has(answer.val.code)) {
        if (answer.val.code === ErrorCode.EffectUnknown) this.first += 1
        return answer
      }
      this.first += 1
      failures.push(answer.val)
    }
    return Err(this.mergeFailures(call.step, failures))
  }

  /** A daemon that does not answer uses up only its part of the time, so that the next is still asked. */
  private computeAttemptDeadline (shares: number): Deadline {
    const now = this.clock.now()
    return createDeadline(now, getRemainingMs(this.deadline, now) / shares)
  }

  private mergeFailures (step: string, failures: readonly OperatorError[]): OperatorError {
    const isLate = hasPassed(this.deadline, this.clock.now()) && failures.some((failure) => failure.code === ErrorCode.DeadlinePassed)
    const code = isLate ? ErrorCode.DeadlinePassed : ErrorCode.Unavailable
    const reasons = failures.map((failure) => `${failure.peer}: ${failure.message}`).join('; ')
    const peer = failures.map((failure) => failure.peer).join(',')
    return new OperatorError({ code, step, peer, message: `no daemon could do it: ${reasons}` }, failures.at(-1)?.problem)
  }
}
