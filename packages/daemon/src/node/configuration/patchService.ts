/**
 * Applies operators' patches: validates the result, writes it on condition that the
 * head is unchanged, and after a lost response finds out by the change's id whether
 * the write was applied.
 */
import type { IClock } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline, hasPassed } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import { type Digester, encodeCanonical } from '@umberspar/steering/common/configuration/canonicalJson'
import { applyPatch, type PatchRefusal, PatchRefusalKind } from '@umberspar/steering/common/configuration/patchConfiguration'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import type { ConfigurationHead, VersionedConfiguration } from '@umberspar/steering/common/configuration/versionedConfiguration'
import { validateConfiguration } from '@umberspar/steering/common/configuration/validateConfiguration'
import type { ConfigurationProblem } from '@umberspar/steering/common/configuration/configurationProblem'
import { type ConfigurationManager, ConfigurationSource } from './configurationManager.js'
import { PatchSettler } from './patchSettler.js'
import type { ConfigurationStore, StoredHead } from './configurationStore.js'

const WRITE_TIMEOUT_MS = 4000
/** A peer with a newer version reports it in every heartbeat round, at most every 5 s plus jitter. */
const PEER_AHEAD_TIMEOUT_MS = 30_000
/** A patch is merged again if the head changes while it is written. The changed head usually makes it stale, so few attempts are needed. */
const MAX_PATCH_ATTEMPTS = 4

/** An operator's patch. */
export interface PatchRequest {
  readonly baseVersion: number
  /** Random id chosen by the operator's client, the same for every retry of one change. */
  readonly changeId: string
  readonly patch: unknown
  readonly note: string
}

/** Why a patch was not applied. */
export type PatchFailure =
  | { readonly kind: 'refused', readonly refusal: PatchRefusal, readonly currentVersion: number }
  | { readonly kind: 'failed', readonly error: StepError }

type PatchOutcome = Result<ConfigurationHead, PatchFailure>

/** The base of the first patch, which is made against version 0. */
const NO_CONFIGURATION: VersionedConfiguration = {
  head: { version: 0, changeId: '', digest: '' },
  body: {} as SteeringConfiguration
}

/** The newest configuration, and its head in the store if there is one. */
interface CurrentState {
  readonly stored: StoredHead | undefined
  readonly configuration: VersionedConfiguration
}

/** Applies patches to the configuration in the store. */
export class PatchService {
  private readonly settler: PatchSettler

  constructor (
    private readonly configurations: ConfigurationStore,
    private readonly configurationManager: ConfigurationManager,
    private readonly digester: Digester,
    private readonly clock: IClock,
    private readonly logger: ILogger
  ) {
    this.settler = new PatchSettler(configurations, clock)
  }

  /** Additional checks of the merged configuration. If they find a problem, the patch is refused. */
  checkResult: (current: SteeringConfiguration, next: SteeringConfiguration) => ConfigurationProblem[] = () => []

  /**
   * Validates a patch without applying it.
   * @param request the base version and the patch
   * @param isCapacityChecked whether the remaining capacity must suffice for the current demand during drains
   * @returns the configuration that would result, or why the patch is refused
   */
  async validate (request: Pick<PatchRequest, 'baseVersion' | 'patch'>, isCapacityChecked = true): Promise<Result<SteeringConfiguration, PatchFailure>> {
    const deadline = createDeadline(this.clock.now(), WRITE_TIMEOUT_MS)
    const current = await this.readCurrent(deadline)
    if (!current.ok) return new Err({ kind: 'failed', error: current.val })
    return await this.merge(current.val.configuration, request, deadline, isCapacityChecked)
  }

  /**
   * Applies a patch.
   * @param request the patch
   * @returns the new head, or why the patch was not applied
   */
  async patch (request: PatchRequest): Promise<Result<ConfigurationHead, PatchFailure>> {
    const deadline = createDeadline(this.clock.now(), WRITE_TIMEOUT_MS)
    for (let attempt = 0; attempt < MAX_PATCH_ATTEMPTS; attempt++) {
      const outcome = await this.runAttempt(request, deadline)
      if (outcome !== undefined) return outcome
    }
    return this.createFailure(ErrorCode.Conflict, 'repeated conflicts with concurrent changes')
  }

  /** @returns undefined if the head changed meanwhile and the patch must be merged again */
  private async runAttempt (request: PatchRequest, deadline: Deadline): Promise<PatchOutcome | undefined> {
    // The head is read before the history, so that the history includes every change
    // that the head includes. Otherwise a retry of a change that was already applied
    // could be refused as stale.
    const current = await this.readCurrent(deadline)
    if (!current.ok) return new Err({ kind: 'failed', error: current.val })
    const existing = await this.findChange(request.changeId, deadline)
    if (!existing.ok) return new Err({ kind: 'failed', error: existing.val })
    if (existing.val !== undefined) return new Ok(existing.val)
    const merged = await this.merge(current.val.configuration, request, deadline)
    if (!merged.ok) return merged
    return await this.write(current.val, merged.val, request, deadline)
  }

  private async write (current: CurrentState, body: SteeringConfiguration, request: PatchRequest, deadline: Deadline): Promise<PatchOutcome | undefined> {
    const text = encodeCanonical(body)
    const head: ConfigurationHead = {
      version: Math.max(current.configuration.head.version, this.configurationManager.highestReportedVersion) + 1,
      changeId: request.changeId,
      digest: this.digester.computeDigest(text)
    }
    const next = { head, text }
    const written = await this.configurations.write({ base: current.stored, next, note: request.note, atWallMs: this.clock.getWallTime() }, deadline)
    const settled = written.ok ? written : await this.settler.settle(written.val, head, current.stored)
    if (!settled.ok) return new Err({ kind: 'failed', error: settled.val })
    if (!settled.val) return undefined
    this.configurationManager.apply(next, 'operator', { source: ConfigurationSource.Operator })
    runDetached(() => this.removeUnused(), this.logger, 'remove-history')
    return new Ok(head)
  }

  private async removeUnused (): Promise<void> {
    const expired = await this.configurations.removeExpiredHistory(createDeadline(this.clock.now(), WRITE_TIMEOUT_MS))
    const orphans = await this.configurations.removeOrphanedBodies(createDeadline(this.clock.now(), WRITE_TIMEOUT_MS))
    // Keys that could not be removed now are removed after the next patch.
    for (const result of [expired, orphans]) {
      if (!result.ok) logError(this.logger, LogLevel.Warn, result.val)
    }
  }

  private createFailure (code: ErrorCode, message: string): PatchOutcome {
    return new Err({ kind: 'failed', error: new StepError({ code, step: 'patch-configuration', peer: 'store', message }) })
  }

  private findChange (changeId: string, deadline: Deadline): Promise<Result<ConfigurationHead | undefined, StepError>> {
    return this.configurations.findChange(changeId, deadline)
  }

  /**
   * Whether a peer has recently reported a newer version. If the only node with that
   * version is lost before any other node fetched it, waiting for it would block all
   * patches forever. So after a timeout its version number is only skipped.
   */
  private isPeerAhead (): boolean {
    const seenAt = this.configurationManager.lastPeerAheadAt
    return seenAt !== undefined && !hasPassed(createDeadline(seenAt, PEER_AHEAD_TIMEOUT_MS), this.clock.now())
  }

  /**
   * Reads the newest configuration: the store's, or the one in force here if the store
   * was restored from a backup. Fails while a peer has a newer version than both,
   * until this daemon has received that version.
   */
  private async readCurrent (deadline: Deadline): Promise<Result<CurrentState, StepError>> {
    const stored = await this.configurations.readHead(deadline)
    if (!stored.ok) return stored
    const storedVersion = stored.val?.head.version ?? 0
    const newest = Math.max(storedVersion, this.configurationManager.version)
    if (this.configurationManager.highestReportedVersion > newest && this.isPeerAhead()) {
      return new Err(new StepError({ code: ErrorCode.Unavailable, step: 'read-current', peer: 'local', message: `a peer has version ${this.configurationManager.highestReportedVersion}, but this daemon only has ${newest}; try again` }))
    }
    const inForce = this.configurationManager.current
    if (inForce !== undefined && inForce.head.version > storedVersion) return new Ok({ stored: stored.val, configuration: inForce })
    if (stored.val === undefined) return new Ok({ stored: undefined, configuration: NO_CONFIGURATION })
    const body = await this.readVersion(stored.val.head, deadline)
    return body.ok ? new Ok({ stored: stored.val, configuration: body.val }) : body
  }

  /**
   * @param head the head of the version to read
   * @param deadline when to give up
   * @returns the configuration, taken from memory if it is the one in force
   */
  async readVersion (head: ConfigurationHead, deadline: Deadline): Promise<Result<VersionedConfiguration, StepError>> {
    const current = this.configurationManager.current
    if (current !== undefined && current.head.changeId === head.changeId) return new Ok(current)
    const text = await this.configurations.readBody(head, deadline)
    if (!text.ok) return text
    const body = validateConfiguration(JSON.parse(text.val.text))
    if (body.ok) return new Ok({ head, body: body.val })
    return new Err(new StepError({ code: ErrorCode.Invalid, step: 'read-body', peer: 'store', message: `version ${head.version} does not match the schema` }))
  }

  private async merge (current: VersionedConfiguration, request: Pick<PatchRequest, 'baseVersion' | 'patch'>, deadline: Deadline, isCapacityChecked = true): Promise<Result<SteeringConfiguration, PatchFailure>> {
    const isStale = request.baseVersion !== current.head.version
    const base = isStale ? await this.readBase(request.baseVersion, deadline) : current.body
    const merged = applyPatch(current, base, request)
    if (!merged.ok) return new Err({ kind: 'refused', refusal: merged.val, currentVersion: current.head.version })
    const problems = current.head.version === 0 || !isCapacityChecked ? [] : this.checkResult(current.body, merged.val)
    if (problems.length === 0) return new Ok(merged.val)
    const message = problems.map((problem) => problem.message).join('; ')
    const refusal = { kind: PatchRefusalKind.InvalidResult, message, baseVersion: request.baseVersion, currentVersion: current.head.version, conflictingPaths: [], problems }
    return new Err({ kind: 'refused', refusal, currentVersion: current.head.version })
  }

  private async readBase (version: number, deadline: Deadline): Promise<SteeringConfiguration | undefined> {
    const history = await this.configurations.listHistory(deadline)
    if (!history.ok) return undefined
    const entry = history.val.find((candidate) => candidate.version === version)
    if (entry === undefined) return undefined
    const body = await this.readVersion(entry, deadline)
    return body.ok ? body.val.body : undefined
  }
}

/** HTTP status by reason of refusal. */
export const REFUSAL_STATUS: Readonly<Record<PatchRefusalKind, number>> = {
  [PatchRefusalKind.StaleBase]: 409,
  [PatchRefusalKind.InvalidResult]: 422,
  [PatchRefusalKind.MalformedPatch]: 422
}
