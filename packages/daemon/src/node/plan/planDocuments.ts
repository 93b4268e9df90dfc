/** Exchanges agreed plans and the weights in force between daemons. */
import type { IClosable } from '@umberspar/base/common/closing'
import { Emitter } from '@umberspar/base/common/event'
import { type ILogger, LogLevel } from '@umberspar/base/common/logger'
import type { Digester } from '@umberspar/steering/common/configuration/canonicalJson'
import { encodeCanonical } from '@umberspar/steering/common/configuration/canonicalJson'
import { getInForceName, getPlanName, parseInForceName, parsePlan, parsePlanName, parseWeights } from '@umberspar/steering/common/plan/planDocument'
import type { DocumentVersion } from '@umberspar/steering/common/membership/memberFacts'
import type { PeerDocument } from '@umberspar/steering/common/ports/peers'
import type { IDocumentSource } from '../peers/documentRegistry.js'
import type { PlanFollower } from '../places/planFollower.js'

/** Plans have no change id: they don't come from an operator's change. */
const NO_CHANGE_ID = ''

/** Provides and accepts the documents `plan/<service>` and `plan-in-force/<service>`. */
export class PlanDocuments implements IDocumentSource, IClosable {
  private readonly didReceivePush = new Emitter<PeerDocument>()
  /** Cached digests by document name, each valid for one version. */
  private readonly digests = new Map<string, { readonly version: number, readonly digest: string }>()

  private newestOriginId: string | undefined

  constructor (
    private readonly plans: PlanFollower,
    private readonly digester: Digester,
    private readonly logger: ILogger
  ) {}

  list (): DocumentVersion[] {
    return [...this.plans.listAgreedPlans().map((plan) => this.buildVersion(plan.service, plan.version)), ...this.listVersionsInForce()]
  }

  /** @returns for each service, the agreed version that this node has reached; 0 if none */
  listVersionsInForce (): DocumentVersion[] {
    return this.plans.listServices().map((service) => ({
      name: getInForceName(service), version: this.plans.find(service)?.inForceVersion ?? 0, digest: '', changeId: NO_CHANGE_ID
    }))
  }

  get (name: string): PeerDocument | undefined {
    const planService = parsePlanName(name)
    const inForceService = parseInForceName(name)
    if (planService !== undefined) return this.getPlan(planService)
    if (inForceService !== undefined) return this.getWeightsInForce(inForceService)
    return undefined
  }

  shouldFetch ({ name, version }: DocumentVersion): boolean {
    const planService = parsePlanName(name)
    if (planService !== undefined) return version > (this.plans.findAgreedPlan(planService)?.version ?? 0)
    const inForceService = parseInForceName(name)
    // Only a node that has no weights of its own yet adopts a peer's.
    return inForceService !== undefined && version > 0 && this.plans.find(inForceService) === undefined
  }

  shouldPush (local: DocumentVersion, remote: DocumentVersion | undefined): boolean {
    return parsePlanName(local.name) !== undefined && local.version > (remote?.version ?? 0)
  }

  /** @returns the node that published the newest plan received by push; it holds the plan's lease, or did until recently */
  get newestPlanOriginId (): string | undefined {
    return this.newestOriginId
  }

  /** Fires when a peer has pushed a plan that is newer than the known one. */
  readonly onDidReceivePush = this.didReceivePush.event

  close (): void {
    this.didReceivePush.close()
  }

  apply (received: PeerDocument, source: string): void {
    const { document, body } = received
    const planService = parsePlanName(document.name)
    const inForceService = parseInForceName(document.name)
    const text = new TextDecoder().decode(body)
    const isNewPlan = planService !== undefined && this.applyPlan(planService, received, text, source)
    if (isNewPlan && received.route !== undefined) this.didReceivePush.fire(received)
    if (inForceService !== undefined) {
      const weights = parseWeights(text)
      if (weights !== undefined) this.plans.setInitialWeights(inForceService, weights)
    }
  }

  private applyPlan (service: string, { document, route }: PeerDocument, text: string, source: string): boolean {
    const plan = this.digester.computeDigest(text) === document.digest ? parsePlan(text) : undefined
    if (plan === undefined || plan.service !== service || plan.version !== document.version) {
      this.logger.log(LogLevel.Error, { step: 'accept-plan', peer: source, service, version: document.version }, 'rejected a plan whose digest or content is invalid')
      return false
    }
    // The store's watch often delivers the plan before the push does; the push then only tells who published it.
    if (route !== undefined && plan.version >= (this.plans.findAgreedPlan(service)?.version ?? 0)) this.newestOriginId = route.originId
    return this.plans.accept(plan)
  }

  private getPlan (service: string): PeerDocument | undefined {
    const plan = this.plans.findAgreedPlan(service)
    if (plan === undefined) return undefined
    return { document: this.buildVersion(service, plan.version), body: new TextEncoder().encode(encodeCanonical(plan)) }
  }

  private getWeightsInForce (service: string): PeerDocument | undefined {
    const state = this.plans.find(service)
    if (state === undefined) return undefined
    const text = encodeCanonical(state.inForce)
    const document = { name: getInForceName(service), version: Math.max(1, state.inForceVersion), digest: this.digester.computeDigest(text), changeId: NO_CHANGE_ID }
    return { document, body: new TextEncoder().encode(text) }
  }

  private buildVersion (service: string, version: number): DocumentVersion {
    const name = getPlanName(service)
    const cached = this.digests.get(name)
    if (cached?.version === version) return { name, ...cached, changeId: NO_CHANGE_ID }
    const plan = this.plans.findAgreedPlan(service)
    const digest = this.digester.computeDigest(plan === undefined ? '' : encodeCanonical(plan))
    this.digests.set(name, { version, digest })
    return { name, version, digest, changeId: NO_CHANGE_ID }
  }
}
