/** A client for the operators' API of the daemons, any of which may be down. */
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

/** The result of a call to a daemon. */
export type CallResult<T> = Promise<Result<T, OperatorError>>

/** A change of the configuration, as sent to a daemon. */
export interface PatchRequest {
  readonly baseVersion: number
  readonly changeId: string
  readonly patch: JsonObject
  readonly note: string
}

/** A patch to validate against a version. */
export interface ValidationRequest {
  readonly baseVersion: number
  readonly patch: JsonObject
}

type AnyDaemonCall = Omit<HttpCall, 'peer' | 'deadline'>
type Decode<T> = (value: unknown) => T | undefined

/** Shares of the remaining time reserved for after the last attempt: if a write's answer is lost, it takes time to determine its effect. */
const RESERVED_SHARES: Readonly<Record<CallKind, number>> = {
  [CallKind.Read]: 0,
  [CallKind.Write]: 1
}

/** Errors after which the next daemon is tried; every other error is final. */
const FAILOVER_CODES: ReadonlySet<ErrorCode> = new Set([ErrorCode.Unavailable, ErrorCode.DeadlinePassed])

/** Calls daemons, with failover from one to the next, within one deadline. */
export class OperatorClient implements IClosable {
  private readonly transport: HttpTransport
  /** Index (modulo the number of daemons) of the daemon to call next: the last one that answered, or the one after the last that failed. */
  private nextDaemonIndex = 0

  /**
   * @param daemons `host:port` of operators' listeners, at least one
   * @param clock the source of time
   * @param deadline the deadline of the whole command
   * @param tls CA and client certificate; plain text if omitted
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
  readConfiguration (): CallResult<messages.ConfigurationResponse> {
    return this.callAnyDaemon({ kind: CallKind.Read, step: 'read-configuration', path: '/v1/config' }, messages.decodeConfiguration)
  }

  /** @returns an earlier version of the configuration that the history still contains */
  readConfigurationVersion (version: number): CallResult<messages.ConfigurationResponse> {
    const path = `/v1/config/versions/${version}`
    return this.callAnyDaemon({ kind: CallKind.Read, step: 'read-configuration-version', path }, messages.decodeConfiguration)
  }

  /** @returns the accepted changes that the history still contains */
  listHistory (): CallResult<readonly messages.HistoryEntry[]> {
    return this.callAnyDaemon({ kind: CallKind.Read, step: 'list-history', path: '/v1/config/history' }, messages.decodeHistory)
  }

  /** @returns whether a daemon would accept the patch, and which fields are invalid; nothing is changed */
  async validatePatch (body: ValidationRequest): CallResult<messages.ValidationResult> {
    const path = '/v1/config/validate'
    const answer = await this.callAnyDaemon({ kind: CallKind.Read, step: 'validate-patch', path, body }, messages.decodeValidation)
    if (answer.ok) return answer
    // A daemon may report the invalid fields in a problem document instead, as it does when a patch is applied.
    const problems = answer.val.problem?.problems ?? []
    return problems.length === 0 ? answer : Ok({ valid: false, problems })
  }

  /** @returns the predicted effect of the patch's drains under the current demand; nothing is changed */
  predictDrain (body: ValidationRequest): CallResult<DrainPrediction> {
    return this.callAnyDaemon({ kind: CallKind.Read, step: 'predict-drain', path: '/v1/drains/predict', body }, decodePrediction)
  }

  /**
   * Sends a change to one daemon after another until one gives a definite answer. Tries the
   * next daemon only after a failure that certainly had no effect; returns `EffectUnknown`
   * at once if an answer is lost.
   * @param body the change
   * @returns the new head
   */
  sendPatch (body: PatchRequest): CallResult<ConfigurationHead> {
    return this.callAnyDaemon({ kind: CallKind.Write, step: 'send-patch', path: '/v1/config/patches', body }, messages.decodePatchAnswer)
  }

  /** @returns all nodes that the answering daemon knows */
  listFleet (): CallResult<readonly messages.FleetNode[]> {
    return this.callAnyDaemon({ kind: CallKind.Read, step: 'list-fleet', path: '/v1/fleet' }, messages.decodeFleet)
  }

  /** @returns the configuration version in force at one node */
  readVersionInForce (peer: string, callDeadline: Deadline): CallResult<number> {
    return this.callNode(peer, 'read-status', '/v1/status', callDeadline, messages.decodeVersionInForce)
  }

  /** @returns the node's progress with all drains */
  listDrains (peer: string, callDeadline: Deadline): CallResult<readonly messages.NodeDrain[]> {
    return this.callNode(peer, 'list-drains', '/v1/drains', callDeadline, messages.decodeDrains)
  }

  /** @returns the node's counts for the burn report, decoded by the caller's function */
  readBurn<T> (peer: string, callDeadline: Deadline, decode: Decode<T>): CallResult<T> {
    return this.callNode(peer, 'read-burn', '/v1/burn', callDeadline, decode)
  }

  /**
   * @param peer `host:port` of a callers' listener
   * @param service the service to look up
   * @param clientAddress the IP address to look up on behalf of; ignored unless the daemon trusts this machine as a forwarder
   * @returns the entry VMs that a caller is told to use
   */
  lookUp (peer: string, service: string, clientAddress: string | undefined): CallResult<LookupAnswer> {
    const path = `/v1/lookup?service=${encodeURIComponent(service)}`
    const headers: Readonly<Record<string, string>> = clientAddress === undefined ? {} : { 'x-forwarded-for': clientAddress }
    return this.transport.call({ kind: CallKind.Read, step: 'look-up', peer, path, headers, deadline: this.deadline }, messages.decodeLookup)
  }

  /** @returns the current instant */
  getNow (): Instant {
    return this.clock.now()
  }

  async close (): Promise<void> {
    await this.transport.close()
  }

  private callNode<T> (peer: string, step: string, path: string, callDeadline: Deadline, decode: Decode<T>): CallResult<T> {
    const deadline = Math.min(callDeadline, this.deadline)
    return this.transport.call({ kind: CallKind.Read, step, peer, path, deadline }, decode)
  }

  private async callAnyDaemon<T> (call: AnyDaemonCall, decode: Decode<T>): CallResult<T> {
    const failures: OperatorError[] = []
    for (let daemonsLeft = this.daemons.length; daemonsLeft > 0; daemonsLeft--) {
      const peer = this.daemons[this.nextDaemonIndex % this.daemons.length] ?? ''
      const deadline = this.computeAttemptDeadline(daemonsLeft + RESERVED_SHARES[call.kind])
      const answer = await this.transport.call({ ...call, peer, deadline }, decode)
      if (answer.ok) return answer
      if (!FAILOVER_CODES.has(answer.val.code)) {
        if (answer.val.code === ErrorCode.EffectUnknown) this.nextDaemonIndex += 1
        return answer
      }
      this.nextDaemonIndex += 1
      failures.push(answer.val)
    }
    return Err(this.mergeFailures(call.step, failures))
  }

  /** Divides the remaining time, so that a daemon that does not answer leaves enough time to try the next one. */
  private computeAttemptDeadline (shares: number): Deadline {
    const now = this.clock.now()
    return createDeadline(now, getRemainingMs(this.deadline, now) / shares)
  }

  private mergeFailures (step: string, failures: readonly OperatorError[]): OperatorError {
    const hasTimedOut = hasPassed(this.deadline, this.clock.now()) && failures.some((failure) => failure.code === ErrorCode.DeadlinePassed)
    const code = hasTimedOut ? ErrorCode.DeadlinePassed : ErrorCode.Unavailable
    const reasons = failures.map((failure) => `${failure.peer}: ${failure.message}`).join('; ')
    const peer = failures.map((failure) => failure.peer).join(',')
    return new OperatorError({ code, step, peer, message: `no daemon could handle the request: ${reasons}` }, failures.at(-1)?.problem)
  }
}
