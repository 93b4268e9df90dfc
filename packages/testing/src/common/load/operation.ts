/** One thing a caller wants done, drawn from a workload; it may take several attempts. */
import type { IRandomSource } from '@umberspar/base/common/random'
import { chooseWeighted } from './arrivals.js'
import type { RequestTemplate, ServiceMix } from './mixes.js'

/** One operation of a caller. */
export interface Operation {
  readonly operationId: string
  readonly service: string
  readonly template: RequestTemplate
  /** Below `/v1/services/S`. */
  readonly path: string
  readonly idempotencyKey: string | undefined
  readonly bodyBytes: number
}

/** Draws operations from a workload. */
export class OperationSource {
  private drawn = 0
  /** Operations still to come, by service; a service without an entry has no quota. */
  private readonly left = new Map<string, number>()

  /**
   * @param random the source of all choices
   * @param mixes the services and their requests
   * @param label begins every operation id; differs between sources of one run
   * @param quota draws exactly so many operations of each service, in a random
   *   order; without it services come by their weights, without end
   */
  constructor (
    private readonly random: IRandomSource,
    private readonly mixes: readonly ServiceMix[],
    private readonly label: string,
    quota?: number
  ) {
    if (quota === undefined) return
    for (const { service } of mixes) this.left.set(service, quota)
  }

  /** @returns the next operation; with a quota, not to be called beyond it */
  takeNext (): Operation {
    const index = this.drawn
    this.drawn += 1
    const mix = chooseWeighted(this.random, this.mixes, ({ service, weight }) => this.left.get(service) ?? weight)
    const left = this.left.get(mix.service)
    if (left !== undefined) this.left.set(mix.service, left - 1)
    const template = chooseWeighted(this.random, mix.templates, ({ weight }) => weight)
    const operationId = `${this.label}-${index}`
    return {
      operationId,
      service: mix.service,
      template,
      path: buildPath(template, index),
      idempotencyKey: template.hasKey ? `key-${operationId}` : undefined,
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
