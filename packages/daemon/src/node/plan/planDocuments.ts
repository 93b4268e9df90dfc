/** Hands agreed plans and weights in force on between daemons. */
import type { IClosable } from '@umberspar/base/common/closing'
import { Emitter } from '@umberspar/base/common/event'
import { type ILogger, LogLevel } from '@umberspar/base/common/logger'
import type { Digester } from '@umberspar/steering/common/configuration/canonicalJson'
import { encodeCanonical } from '@umberspar/steering/common/configuration/canonicalJson'
import { getInForceName, getPlanName, parseInForceName, parsePlan, parsePlanName, parseWeights } from '@umberspar/steering/common/plan/planDocument'
import type { DocumentVersion } from '@umberspar/steering/common/membership/memberFacts'
import type { PeerDocument } from '@umberspar/steering/common/ports/peers'
import type { IDocumentSource } from '../peers/documentRegistry.js'
import type { PlanKeeper } from '../places/planKeeper.js'

/** A plan has no operator's change behind it. */
const NO_CHANGE = ''

/** The source of `plan/<service>` and `plan-in-force/<service>`. */
export class PlanDocuments implements IDocumentSource, IClosable {
  private readonly didTakePush = new Emitter<PeerDocument>()
  /** Digests by name, for the version they belong to. */
  private readonly digests = new Map<string, { readonly version: number, readonly digest: string }>()

  private originId: string | undefined

  constructor (
    private readonly keeper: PlanKeeper,
    private readonly digester: Digester,
    private readonly logger: ILogger
  ) {}

  list (): DocumentVersion[] {
    return [...this.keeper.listAgreed().map((plan) => this.buildVersion(plan.service, plan.version)), ...this.listInForce()]
  }

  /** @returns the agreed versions that this node has reached */
  listInForce (): DocumentVersion[] {
    return this.keeper.listServices().map((service) => ({
      name: getInForceName(service), version: this.keeper.find(service)?.inForceVersion ?? 0, digest: '', changeId: NO_CHANGE
    }))
  }

  get (name: string): PeerDocument | undefined {
    const planned = parsePlanName(name)
    const inForce = parseInForceName(name)
    if (planned !== undefined) return this.getPlan(planned)
    if (inForce !== undefined) return this.getInForce(inForce)
    return undefined
  }

  shouldFetch ({ name, version }: DocumentVersion): boolean {
    const planned = parsePlanName(name)
    if (planned !== undefined) return version > (this.keeper.findAgreed(planned)?.version ?? 0)
    const inForce = parseInForceName(name)
    // Only a node that has not started yet takes over a peer's weights.
    return inForce !== undefined && version > 0 && this.keeper.find(inForce) === undefined
  }

  shouldPush (ours: DocumentVersion, theirs: DocumentVersion | undefined): boolean {
    return parsePlanName(ours.name) !== undefined && ours.version > (theirs?.version ?? 0)
  }

  /** @returns the node that began to push the newest plan seen here; it holds the plan, or did lately */
  get pusherId (): string | undefined {
    return this.originId
  }

  /** Fires for a plan that a peer pushed and that is newer than what was known. */
  readonly onDidTakePush = this.didTakePush.event

  close (): void {
    this.didTakePush.close()
  }

  apply (received: PeerDocument, source: string): void {
    const { document, body } = received
    const planned = parsePlanName(document.name)
    const inForce = parseInForceName(document.name)
    const text = new TextDecoder().decode(body)
    const isNew = planned !== undefined && this.applyPlan(planned, received, text, source)
    if (isNew && received.route !== undefined) this.didTakePush.fire(received)
    if (inForce !== undefined) {
      const weights = parseWeights(text)
      if (weights !== undefined) this.keeper.putHandedOver(inForce, weights)
    }
  }

  private applyPlan (service: string, { document, route }: PeerDocument, text: string, source: string): boolean {
    const plan = this.digester.computeDigest(text) === document.digest ? parsePlan(text) : undefined
    if (plan === undefined || plan.service !== service || plan.version !== document.version) {
      this.logger.log(LogLevel.Error, { step: 'accept-plan', peer: source, service, version: document.version }, 'plan refused: it is damaged')
      return false
    }
    // The store's watch is often faster than the push, which then tells the holder alone.
    if (route !== undefined && plan.version >= (this.keeper.findAgreed(service)?.version ?? 0)) this.originId = route.originId
    return this.keeper.accept(plan)
  }

  private getPlan (service: string): PeerDocument | undefined {
    const plan = this.keeper.findAgreed(service)
    if (plan === undefined) return undefined
    return { document: this.buildVersion(service, plan.version), body: new TextEncoder().encode(encodeCanonical(plan)) }
  }

  private getInForce (service: string): PeerDocument | undefined {
    const state = this.keeper.find(service)
    if (state === undefined) return undefined
    const text = encodeCanonical(state.inForce)
    const document = { name: getInForceName(service), version: Math.max(1, state.inForceVersion), digest: this.digester.computeDigest(text), changeId: NO_CHANGE }
    return { document, body: new TextEncoder().encode(text) }
  }

  private buildVersion (service: string, version: number): DocumentVersion {
    const name = getPlanName(service)
    const known = this.digests.get(name)
    if (known?.version === version) return { name, ...known, changeId: NO_CHANGE }
    const plan = this.keeper.findAgreed(service)
    const digest = this.digester.computeDigest(plan === undefined ? '' : encodeCanonical(plan))
    this.digests.set(name, { version, digest })
    return { name, version, digest, changeId: NO_CHANGE }
  }
}
