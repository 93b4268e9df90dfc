/** The messages by which entry VMs request tokens of an account's quota from each other. */
import type { QuotaGrant } from '@umberspar/steering/common/quota/quotaBucketTable'
import * as z from 'zod/mini'
import type { PlainResponse } from '../lookup/endpointServer.js'
import { NoGrantReason } from './accountQuota.js'
import type { QuotaTransportResponse } from './quotaTransport.js'

/** The path of the requests, whose query is a {@link QuotaRequest}. */
export const QUOTA_PATH = '/v1/quota'
/** The query of a message with this many requests takes about 8 kB. */
export const MAX_MESSAGE_REQUESTS = 64
const GRANTED = { status: 200, contentType: 'application/json' }
const BAD_REQUEST: PlainResponse = { status: 400, contentType: 'text/plain', body: 'the question cannot be read\n' }
const NOT_OWNED: PlainResponse = { status: 409, contentType: 'text/plain', body: 'this VM does not keep the share\n' }

/** A request to the owner of a share. */
export interface QuotaRequest {
  readonly share: string
  readonly account: string
  /** The number of tokens for waiting and expected requests. */
  readonly wanted: number
  /** The number of earlier tokens of this share that will certainly not be used. */
  readonly unused: number
}

const FURTHER_FIELD = 'further'
const count = z.int().check(z.nonnegative())
const requestShape = z.object({ share: z.string(), account: z.string(), wanted: count, unused: count })
const furtherShape = z.array(requestShape).check(z.maxLength(MAX_MESSAGE_REQUESTS))
const grantShape = z.object({ given: count, waitMs: z.number().check(z.nonnegative()) })
const grantsShape = z.object({ grants: z.array(z.nullable(grantShape)).check(z.minLength(1)) })

/**
 * Formats requests to the same owner as one message. Builds that know no further requests read and answer the first one.
 * @param requests at least one
 * @returns the path and query of the message
 */
export function formatQuotaRequests ([first, ...further]: readonly [QuotaRequest, ...QuotaRequest[]]): string {
  const { share, account, wanted, unused } = first
  const path = `${QUOTA_PATH}?share=${encodeURIComponent(share)}&account=${encodeURIComponent(account)}&wanted=${wanted}&unused=${unused}`
  return further.length === 0 ? path : `${path}&${FURTHER_FIELD}=${encodeURIComponent(JSON.stringify(further))}`
}

/** @returns the requests of a message; undefined if it is invalid */
function parseQuotaRequests (query: URLSearchParams): QuotaRequest[] | undefined {
  const first = requestShape.safeParse({ share: query.get('share'), account: query.get('account'), wanted: Number(query.get('wanted')), unused: Number(query.get('unused')) })
  const further = query.get(FURTHER_FIELD)
  if (!first.success) return undefined
  if (further === null) return [first.data]
  const parsed = furtherShape.safeParse(parseJson(further))
  return parsed.success ? [first.data, ...parsed.data] : undefined
}

/** @returns the value; undefined if the text is not JSON, which no shape matches */
function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/**
 * Answers requests for tokens as the owner of shares.
 * @param query the query of the message
 * @param take takes tokens from this VM's buckets; undefined if it doesn't own the share
 */
export function answerQuotaRequests (query: URLSearchParams, take: (request: QuotaRequest) => QuotaGrant | undefined): PlainResponse {
  const requests = parseQuotaRequests(query)
  if (requests === undefined) return BAD_REQUEST
  const grants = requests.map(take)
  if (grants.length > 1) return { ...GRANTED, body: JSON.stringify({ grants: grants.map((grant) => grant ?? null) }) }
  return grants[0] === undefined ? NOT_OWNED : { ...GRANTED, body: JSON.stringify(grants[0]) }
}

/**
 * @param response the owner's response
 * @returns the grants of the first requests of the message, or why there are none: of all of them, or of the first one only if the owner's build
 *   knows no further ones
 */
export function parseGrants ({ status, text }: QuotaTransportResponse): Array<QuotaGrant | NoGrantReason> {
  if (status === NOT_OWNED.status) return [NoGrantReason.NotOwned]
  const body = parseJson(text)
  const grants = grantsShape.safeParse(body)
  if (status === GRANTED.status && grants.success) return grants.data.grants.map((grant) => grant ?? NoGrantReason.NotOwned)
  const grant = grantShape.safeParse(body)
  // The response of another program counts like none.
  return status === GRANTED.status && grant.success ? [grant.data] : [NoGrantReason.Unresponsive]
}
