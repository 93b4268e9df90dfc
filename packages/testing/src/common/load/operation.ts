/** Operations of callers, generated from a traffic mix; an operation may take several attempts. */
import type { IRandomSource } from '@umberspar/base/common/random'
import { chooseWeighted } from './arrivals.js'
import type { RequestTemplate, ServiceMix } from './mixes.js'

/** One operation of a caller. */
export interface Operation {
  readonly operationId: string
  readonly service: string
  readonly template: RequestTemplate
  /** Relative to `/v1/services/S`. */
  readonly path: string
  readonly idempotencyKey: string | undefined
  readonly bodyBytes: number
}

/** Generates operations from a traffic mix. */
export class OperationSource {
  private createdCount = 0
  /** Remaining operations by service; a service without an entry has no quota. */
  private readonly remainingByService = new Map<string, number>()

  /**
   * @param random the source of all choices
   * @param mixes the services and their requests
   * @param idPrefix prefix of all operation ids, unique per source within a run
   * @param quota number of operations to generate for each service, in random
   *   order; without it, services are chosen by weight and the source is unlimited
   */
  constructor (
    private readonly random: IRandomSource,
    private readonly mixes: readonly ServiceMix[],
    private readonly idPrefix: string,
    quota?: number
  ) {
    if (quota === undefined) return
    for (const { service } of mixes) this.remainingByService.set(service, quota)
  }

  /** @returns the next operation; must not be called after the quota is used up */
  takeNext (): Operation {
    const index = this.createdCount
    this.createdCount += 1
    const mix = chooseWeighted(this.random, this.mixes, ({ service, weight }) => this.remainingByService.get(service) ?? weight)
    const remaining = this.remainingByService.get(mix.service)
    if (remaining !== undefined) this.remainingByService.set(mix.service, remaining - 1)
    const template = chooseWeighted(this.random, mix.templates, ({ weight }) => weight)
    const operationId = `${this.idPrefix}-${index}`
    return {
      operationId,
      service: mix.service,
      template,
      path: buildPath(template, index),
      idempotencyKey: template.hasIdempotencyKey ? `key-${operationId}` : undefined,
      bodyBytes: this.chooseBodyBytes(template)
    }
  }

  private chooseBodyBytes ({ minBodyBytes, maxBodyBytes }: RequestTemplate): number {
    return minBodyBytes + Math.floor(this.random.next() * (maxBodyBytes - minBodyBytes + 1))
  }
}

function buildPath ({ path, answerBytes }: RequestTemplate, index: number): string {
  const query = answerBytes > 0 ? `?size=${answerBytes}` : ''
  return `${path}/${index}${query}`
}
