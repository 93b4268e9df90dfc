/** Decides whether a request may run, by the current records: when it is read, and again each time it is sent to a worker. */
import type { IncomingMessage } from 'node:http'
import { type AccessDecision, type AccessBounds, decideAccess } from '@umberspar/steering/common/entry/decideAccess'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import type { RoutePolicy } from '@umberspar/steering/common/entry/steeringDocument'
import { computeKeyDigest, readCallerKey } from './callerKey.js'

/** Decides by the records of this VM and the age of the proof that they are current. */
export class AccessController {
  /**
   * @param view the records
   * @param bounds the maximum ages of the proof that the records are current
   * @param getProofAgeMs returns the age of the proof, in milliseconds
   */
  constructor (private readonly view: EntryView, private readonly bounds: AccessBounds, private readonly getProofAgeMs: () => number) {}

  /** @returns the age of the proof for log lines, in whole milliseconds; undefined if there is none */
  get loggedProofAgeMs (): number | undefined {
    const ageMs = this.getProofAgeMs()
    return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined
  }

  /** @returns whether the proof is recent enough for requests with keys to run */
  get canAdmitKeys (): boolean {
    return this.view.accounts === undefined || this.getProofAgeMs() <= this.bounds.maxAgeToRunMs
  }

  /** @returns whether the proof is recent enough to conclude that a route that isn't in the records doesn't exist */
  get canConfirmAbsence (): boolean {
    return this.getProofAgeMs() <= this.bounds.maxAgeToDenyMs
  }

  /** @returns the digest of the caller's key; undefined if it sent no valid one */
  readKeyDigest (message: IncomingMessage): string | undefined {
    const key = readCallerKey(message.rawHeaders)
    return key === undefined ? undefined : computeKeyDigest(key)
  }

  /**
   * @param route the request's route
   * @param keyDigest digest of the caller's key
   * @returns whether the request may run now, and for which account
   */
  decide (route: RoutePolicy, keyDigest: string | undefined): AccessDecision {
    return decideAccess({ accounts: this.view.accounts, route, keyDigest, proofAgeMs: this.getProofAgeMs() }, this.bounds)
  }
}
