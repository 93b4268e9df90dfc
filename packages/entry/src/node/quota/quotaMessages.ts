/** The messages by which entry VMs request tokens of an account's quota from each other. */
import type { QuotaGrant } from '@umberspar/steering/common/quota/quotaBucketTable'
import * as z from 'zod/mini'
import type { PlainResponse } from '../lookup/endpointServer.js'

/** The path of the requests, whose query is a {@link QuotaRequest}. */
export const QUOTA_PATH = '/v1/quota'
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

const grantShape = z.object({ given: z.int().check(z.nonnegative()), waitMs: z.number().check(z.nonnegative()) })

/** @returns the path and query of the request */
export function formatQuotaRequest ({ share, account, wanted, unused }: QuotaRequest): string {
  return `${QUOTA_PATH}?share=${encodeURIComponent(share)}&account=${encodeURIComponent(account)}&wanted=${wanted}&unused=${unused}`
}

/** @returns the request; undefined if the query is invalid */
export function parseQuotaRequest (query: URLSearchParams): QuotaRequest | undefined {
  const wanted = Number(query.get('wanted'))
  const unused = Number(query.get('unused'))
  const share = query.get('share')
  const account = query.get('account')
  const isCount = [wanted, unused].every((count) => Number.isSafeInteger(count) && count >= 0)
  return isCount && share !== null && account !== null ? { share, account, wanted, unused } : undefined
}

/** @returns the owner's grant; undefined if the text is invalid */
export function parseGrant (text: string): QuotaGrant | undefined {
  try {
    return grantShape.parse(JSON.parse(text))
  } catch {
    // The response of another version, or of another program. The caller treats it like no response.
    return undefined
  }
}

/**
 * Answers a request for tokens as the owner of shares.
 * @param query the query of the request
 * @param take takes tokens from this VM's buckets; undefined if it doesn't own the share
 */
export function answerQuotaRequest (query: URLSearchParams, take: (request: QuotaRequest) => QuotaGrant | undefined): PlainResponse {
  const request = parseQuotaRequest(query)
  if (request === undefined) return BAD_REQUEST
  const grant = take(request)
  return grant === undefined ? NOT_OWNED : { status: 200, contentType: 'application/json', body: JSON.stringify(grant) }
}
