/** Decides for each request whether it may run by the records as they are, when it is read and again whenever it is sent on. */
import type { IncomingMessage } from 'node:http'
import { type Access, type AccessBounds, decideAccess } from '@umberspar/steering/common/entry/decideAccess'
import type { EntryView } from '@umberspar/steering/common/entry/entryView'
import type { RoutePolicy } from '@umberspar/steering/common/entry/steeringDocument'
import { computeKeyDigest, readCallerKey } from './callerKey.js'

/** Decides by this VM's records, as new as they are proven to be. */
export class AccessGate {
  /**
   * @param view the records
   * @param bounds how old the proof of the records may be
   * @param getProofAgeMs how old it is, in milliseconds
   */
  constructor (private readonly view: EntryView, private readonly bounds: AccessBounds, private readonly getProofAgeMs: () => number) {}

  /** @returns how old the proof of the records is, in whole milliseconds, for log lines; undefined if there is none */
  get loggedProofAgeMs (): number | undefined {
    const ageMs = this.getProofAgeMs()
    return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined
  }

  /** @returns whether requests with keys can run now, as far as the records go */
  get isOpen (): boolean {
    return this.view.accounts === undefined || this.getProofAgeMs() <= this.bounds.runWithinMs
  }

  /** @returns whether the records are new enough to say that there is no such route */
  get mayDeny (): boolean {
    return this.getProofAgeMs() <= this.bounds.denyWithinMs
  }

  /** @returns the digest of the caller's key; undefined if it sent none that can be read */
  readKeyDigest (message: IncomingMessage): string | undefined {
    const key = readCallerKey(message.rawHeaders)
    return key === undefined ? undefined : computeKeyDigest(key)
  }

  /**
   * @param route the request's route
   * @param keyDigest digest of the caller's key
   * @returns whether the request may run at this moment, and for which account
   */
  decide (route: RoutePolicy, keyDigest: string | undefined): Access {
    return decideAccess({ accounts: this.view.accounts, route, keyDigest, proofAgeMs: this.getProofAgeMs() }, this.bounds)
  }
}
