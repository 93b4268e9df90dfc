/**
 * Requests tokens from share owners. If a response is lost, its tokens are lost too, and never granted twice.
 *
 * Each owner gets one message at a time; requests for it that come meanwhile leave together with the next one. So what a VM
 * asks of an owner adapts to the time that the owner takes, however many requests and accounts this VM serves.
 */
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import { runDetached } from '@umberspar/base/common/detached'
import type { ILogger } from '@umberspar/base/common/logger'
import type { QuotaGrant } from '@umberspar/steering/common/quota/quotaBucketTable'
import { NoGrantReason } from './accountQuota.js'
import { formatQuotaRequests, MAX_MESSAGE_REQUESTS, parseGrants, type QuotaRequest } from './quotaMessages.js'
import { HttpQuotaTransport, type IQuotaTransport } from './quotaTransport.js'

/** Beyond the round trip; a later response is awaited, but others are asked meanwhile. Owners respond from memory. */
const LATE_MARGIN_MS = 150
/**
 * A response counts as late only if it takes this many times as long as the owner's usual one. While all owners are slow, asking
 * others as well would make them slower.
 */
const LATE_RATIO = 2
/** The weight of the latest response time in the owner's usual one. */
const RESPONSE_TIME_WEIGHT = 0.3
/** Beyond the round trip. An owner that takes longer is taken for unreachable; others have been asked since its response was late. */
const RESPONSE_TIMEOUT_MS = 4_000

interface PendingRequest {
  readonly request: QuotaRequest
  settle(grant: QuotaGrant | NoGrantReason): void
}

/** The requests for one owner. */
interface OwnerQueue {
  readonly address: string
  roundTripMs: number
  /** How long the owner has usually taken to respond lately, waits for earlier messages included, in milliseconds. */
  usualResponseMs: number
  pending: PendingRequest[]
  isSending: boolean
}

/** Requests the tokens of one process. */
export class QuotaClient implements IClosable {
  private readonly queues = new Map<string, OwnerQueue>()

  /**
   * @param clock for timeouts
   * @param logger logs unexpected errors
   * @param transport sends the requests
   */
  constructor (private readonly clock: IClock, private readonly logger: ILogger, private readonly transport: IQuotaTransport = new HttpQuotaTransport()) {}

  /**
   * @param address `host:port` of the owner's listener for other entry VMs
   * @param request the number of tokens, and of which share
   * @param roundTripMs the network round trip to the owner, in milliseconds
   * @param onLate called if there is no response in the usual time
   * @returns the owner's grant, or why there is none
   */
  async ask (address: string, request: QuotaRequest, roundTripMs: number, onLate: () => void): Promise<QuotaGrant | NoGrantReason> {
    const queue = this.getQueue(address)
    const askedAt = this.clock.now()
    const lateTimer = this.clock.schedule(askedAt + Math.max(roundTripMs + LATE_MARGIN_MS, queue.usualResponseMs * LATE_RATIO), onLate)
    return await new Promise((resolve) => {
      queue.roundTripMs = roundTripMs
      queue.pending.push({
        request,
        settle: (grant) => {
          lateTimer.close()
          if (grant === NoGrantReason.Unresponsive) queue.usualResponseMs = 0
          else queue.usualResponseMs += (this.clock.now() - askedAt - queue.usualResponseMs) * RESPONSE_TIME_WEIGHT
          resolve(grant)
        }
      })
      this.sendNext(queue)
    })
  }

  /** Closes all connections. */
  close (): void {
    this.transport.close()
  }

  private getQueue (address: string): OwnerQueue {
    let queue = this.queues.get(address)
    if (queue === undefined) {
      queue = { address, roundTripMs: 0, usualResponseMs: 0, pending: [], isSending: false }
      this.queues.set(address, queue)
    }
    return queue
  }

  private sendNext (queue: OwnerQueue): void {
    if (queue.isSending) return
    const [first, ...further] = queue.pending.splice(0, MAX_MESSAGE_REQUESTS)
    if (first === undefined) return
    queue.isSending = true
    runDetached(async () => {
      await this.send(queue, [first, ...further])
      queue.isSending = false
      this.sendNext(queue)
    }, this.logger, 'ask-quota')
  }

  private async send (queue: OwnerQueue, requests: readonly [PendingRequest, ...PendingRequest[]]): Promise<void> {
    const [first, ...further] = requests
    const sent = this.transport.send(queue.address, formatQuotaRequests([first.request, ...further.map(({ request }) => request)]))
    const timer = this.clock.schedule(this.clock.now() + queue.roundTripMs + RESPONSE_TIMEOUT_MS, () => { sent.cancel() })
    const response = await sent.response
    timer.close()
    if (response === undefined) {
      // What came meanwhile would wait for another timeout.
      for (const { settle } of [...requests, ...queue.pending.splice(0)]) settle(NoGrantReason.Unresponsive)
      return
    }
    const grants = parseGrants(response)
    for (const [index, pending] of requests.entries()) {
      const grant = grants[index]
      if (grant !== undefined) pending.settle(grant)
    }
    queue.pending.unshift(...requests.slice(grants.length))
  }
}
