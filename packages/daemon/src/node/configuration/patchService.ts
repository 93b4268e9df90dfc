/**
 * Takes operators' patches: checks them whole, writes them under a condition on
 * the head, and settles a lost answer by the change's id.
 */
import type { IClock } from '@umberspar/base/common/clock'
import { createDeadline, type Deadline } from '@umberspar/base/common/deadline'
import { runDetached } from '@umberspar/base/common/detached'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { ILogger } from '@umberspar/base/common/logger'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import { type Digester, encodeCanonical } from '@umberspar/steering/common/configuration/canonicalJson'
import { applyPatch, type PatchRefusal, PatchRefusalKind } from '@umberspar/steering/common/configuration/patchConfiguration'
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import type { ConfigurationHead, VersionedConfiguration } from '@umberspar/steering/common/configuration/versionedConfiguration'
import { type ConfigurationProblem, validateConfiguration } from '@umberspar/steering/common/configuration/validateConfiguration'
import type { ConfigurationKeeper } from './configurationKeeper.js'
import type { ConfigurationStore, StoredHead } from './configurationStore.js'

const WRITE_SPAN_MS = 4000
const SETTLE_ATTEMPTS = 3

/** An operator's patch. */
export interface PatchRequest {
  readonly baseVersion: number
  /** Random, chosen by the operator's client; the same for every repetition of one change. */
  readonly changeId: string
  readonly patch: unknown
  readonly note: string
}

/** Why a patch did not take effect. */
export type PatchFailure =
  | { readonly kind: 'refused', readonly refusal: PatchRefusal, readonly currentVersion: number }
  | { readonly kind: 'failed', readonly error: StepError }

/** What the store holds before the first patch, which is made against version 0. */
const NO_CONFIGURATION: VersionedConfiguration = {
  head: { version: 0, changeId: '', digest: '' },
  body: {} as SteeringConfiguration
}

/** The newest configuration, and its head in the store unless there is none. */
interface CurrentState {
  readonly stored: StoredHead | undefined
  readonly configuration: VersionedConfiguration
}

/** Applies patches to the configuration in the store. */
export class PatchService {
  constructor (
    private readonly configurations: ConfigurationStore,
    private readonly keeper: ConfigurationKeeper,
    private readonly digester: Digester,
    private readonly clock: IClock,
    private readonly logger: ILogger
  ) {}

  /** Further checks of a whole result; a problem found refuses the patch. */
  checkResult: (current: SteeringConfiguration, next: SteeringConfiguration) => ConfigurationProblem[] = () => []

  /**
   * Checks a patch without writing.
   * @param request base version and patch
   * @param isRoomChecked whether drains must fit the present demand
   * @returns the configuration it would make, or why it is refused
   */
  async validate (request: Pick<PatchRequest, 'baseVersion' | 'patch'>, isRoomChecked = true): Promise<Result<SteeringConfiguration, PatchFailure>> {
    const deadline = createDeadline(this.clock.now(), WRITE_SPAN_MS)
    const current = await this.readCurrent(deadline)
    if (!current.ok) return new Err({ kind: 'failed', error: current.val })
    return await this.merge(current.val.configuration, request, deadline, isRoomChecked)
  }

  /**
   * Applies a patch.
   * @param request the patch
   * @returns the new head, or why there is none
   */
  async patch (request: PatchRequest): Promise<Result<ConfigurationHead, PatchFailure>> {
    const deadline = createDeadline(this.clock.now(), WRITE_SPAN_MS)
    const current = await this.readCurrent(deadline)
    if (!current.ok) return new Err({ kind: 'failed', error: current.val })
    const earlier = await this.findChange(request.changeId, deadline)
    if (!earlier.ok) return new Err({ kind: 'failed', error: earlier.val })
    if (earlier.val !== undefined) return new Ok(earlier.val)
    const merged = await this.merge(current.val.configuration, request, deadline)
    if (!merged.ok) return merged
    return await this.write(current.val.stored, merged.val, request, deadline)
  }

  private async write (base: StoredHead | undefined, body: SteeringConfiguration, request: PatchRequest, deadline: Deadline): Promise<Result<ConfigurationHead, PatchFailure>> {
    const text = encodeCanonical(body)
    const head: ConfigurationHead = {
      version: (base?.head.version ?? 0) + 1,
      changeId: request.changeId,
      digest: this.digester.computeDigest(text)
    }
    const next = { head, text }
    const written = await this.configurations.write({ base, next, note: request.note, atWallMs: this.clock.getWallTime() }, deadline)
    const settled = written.ok ? written : await this.settle(written.val, head)
    if (!settled.ok) return new Err({ kind: 'failed', error: settled.val })
    if (!settled.val) return await this.refuseStale(request, deadline)
    this.keeper.apply(next, 'operator')
    runDetached(() => this.configurations.removeOld(createDeadline(this.clock.now(), WRITE_SPAN_MS)), this.logger, 'remove-history')
    return new Ok(head)
  }

  /**
   * The swap's answer was lost: the operator would see an error for a change
   * that is in force. The change's id in the history says which it was, since
   * the history entry is written in the head's own transaction.
   */
  private async settle (lost: StepError, head: ConfigurationHead): Promise<Result<boolean, StepError>> {
    if (lost.code !== ErrorCode.EffectUnknown) return new Err(lost)
    for (let attempt = 0; attempt < SETTLE_ATTEMPTS; attempt++) {
      const found = await this.findChange(head.changeId, createDeadline(this.clock.now(), WRITE_SPAN_MS))
      if (found.ok && found.val !== undefined) return new Ok(true)
      if (found.ok && await this.hasMovedPast(head)) return new Ok(false)
    }
    return new Err(lost)
  }

  /** Once another change holds this version, a late write of ours can no longer take effect. */
  private async hasMovedPast (head: ConfigurationHead): Promise<boolean> {
    const stored = await this.configurations.readHead(createDeadline(this.clock.now(), WRITE_SPAN_MS))
    return stored.ok && stored.val !== undefined && stored.val.head.version >= head.version && stored.val.head.changeId !== head.changeId
  }

  private async findChange (changeId: string, deadline: Deadline): Promise<Result<ConfigurationHead | undefined, StepError>> {
    const history = await this.configurations.listHistory(deadline)
    if (!history.ok) return history
    const entry = history.val.find((one) => one.changeId === changeId)
    if (entry === undefined) return new Ok(undefined)
    return new Ok({ version: entry.version, changeId: entry.changeId, digest: entry.digest })
  }

  private async readCurrent (deadline: Deadline): Promise<Result<CurrentState, StepError>> {
    const stored = await this.configurations.readHead(deadline)
    if (!stored.ok) return stored
    if (stored.val === undefined) return new Ok({ stored: undefined, configuration: NO_CONFIGURATION })
    const body = await this.readVersion(stored.val.head, deadline)
    return body.ok ? new Ok({ stored: stored.val, configuration: body.val }) : body
  }

  /**
   * @param head which version
   * @param deadline when to give up
   * @returns the configuration, from memory if it is the one in force
   */
  async readVersion (head: ConfigurationHead, deadline: Deadline): Promise<Result<VersionedConfiguration, StepError>> {
    const current = this.keeper.current
    if (current !== undefined && current.head.changeId === head.changeId) return new Ok(current)
    const text = await this.configurations.readBody(head, deadline)
    if (!text.ok) return text
    const body = validateConfiguration(JSON.parse(text.val.text))
    if (body.ok) return new Ok({ head, body: body.val })
    return new Err(new StepError({ code: ErrorCode.Invalid, step: 'read-body', peer: 'store', message: `version ${head.version} breaks the schema` }))
  }

  private async merge (current: VersionedConfiguration, request: Pick<PatchRequest, 'baseVersion' | 'patch'>, deadline: Deadline, isRoomChecked = true): Promise<Result<SteeringConfiguration, PatchFailure>> {
    const isStale = request.baseVersion !== current.head.version
    const base = isStale ? await this.readBase(request.baseVersion, deadline) : current.body
    const merged = applyPatch(current, base, request)
    if (!merged.ok) return new Err({ kind: 'refused', refusal: merged.val, currentVersion: current.head.version })
    const problems = current.head.version === 0 || !isRoomChecked ? [] : this.checkResult(current.body, merged.val)
    if (problems.length === 0) return new Ok(merged.val)
    const message = problems.map((problem) => problem.message).join('; ')
    const refusal = { kind: PatchRefusalKind.InvalidResult, message, baseVersion: request.baseVersion, currentVersion: current.head.version, conflictingPaths: [], problems }
    return new Err({ kind: 'refused', refusal, currentVersion: current.head.version })
  }

  private async readBase (version: number, deadline: Deadline): Promise<SteeringConfiguration | undefined> {
    const history = await this.configurations.listHistory(deadline)
    if (!history.ok) return undefined
    const entry = history.val.find((one) => one.version === version)
    if (entry === undefined) return undefined
    const body = await this.readVersion(entry, deadline)
    return body.ok ? body.val.body : undefined
  }

  private async refuseStale (request: PatchRequest, deadline: Deadline): Promise<Result<ConfigurationHead, PatchFailure>> {
    const current = await this.readCurrent(deadline)
    if (!current.ok) return new Err({ kind: 'failed', error: current.val })
    const refused = await this.merge(current.val.configuration, request, deadline)
    if (!refused.ok) return refused
    const error = new StepError({ code: ErrorCode.Conflict, step: 'swap-head', peer: 'store', message: 'the head changed and changed back while the patch was written' })
    return new Err({ kind: 'failed', error })
  }
}

/** Reason a refusal maps to in problem documents. */
export const REFUSAL_STATUS: Readonly<Record<PatchRefusalKind, number>> = {
  [PatchRefusalKind.StaleBase]: 409,
  [PatchRefusalKind.InvalidResult]: 422,
  [PatchRefusalKind.MalformedPatch]: 422
}
