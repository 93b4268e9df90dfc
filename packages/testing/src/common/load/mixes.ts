/** The traffic mix of each example deployment: the kinds of requests that callers send, their frequency and size. */

/** The example deployments. */
export enum DeploymentName {
  Teratai = 'teratai',
  Guild = 'guild'
}

/** One kind of request of a service. */
export interface RequestTemplate {
  /** Shown in reports. */
  readonly name: string
  /** Relative frequency among the service's requests. */
  readonly weight: number
  readonly method: 'GET' | 'HEAD' | 'POST' | 'PUT'
  /** Relative to `/v1/services/S`; a request number is appended. */
  readonly path: string
  /** Size of the requested item; 0 if the worker answers with its own report. */
  readonly answerBytes: number
  /** Whether the caller may retry it without knowing whether it ran. */
  readonly isIdempotent: boolean
  readonly hasIdempotencyKey: boolean
  /** Body sizes are distributed uniformly between both limits; both are 0 for requests without a body. */
  readonly minBodyBytes: number
  readonly maxBodyBytes: number
}

/** The part of a deployment's traffic that goes to one service. */
export interface ServiceMix {
  readonly service: string
  /** Relative frequency among the deployment's requests. */
  readonly weight: number
  readonly templates: readonly RequestTemplate[]
}

const BYTES_PER_KIB = 1024
const MIN_SMALL_BODY_BYTES = 200
const MAX_SMALL_BODY_BYTES = 2 * BYTES_PER_KIB
const MIN_UPLOAD_BODY_BYTES = 20 * BYTES_PER_KIB

const ITEM_BYTES = 4 * BYTES_PER_KIB

/** Builds a read; simulated workers generate the bytes of `/items/` from the path and the request id. */
function buildRead (name: string, weight: number, path: string): RequestTemplate {
  return {
    name, weight, method: 'GET', path: `/items${path}`, answerBytes: ITEM_BYTES, isIdempotent: true, hasIdempotencyKey: false, minBodyBytes: 0, maxBodyBytes: 0
  }
}

/** Builds a write that must run at most once. */
function buildNonIdempotentWrite (name: string, weight: number, path: string): RequestTemplate {
  return {
    name, weight, method: 'POST', path, answerBytes: 0, isIdempotent: false, hasIdempotencyKey: true, minBodyBytes: MIN_SMALL_BODY_BYTES, maxBodyBytes: MAX_SMALL_BODY_BYTES
  }
}

function buildUpload (name: string, weight: number, path: string, maxBodyBytes: number): RequestTemplate {
  return { name, weight, method: 'PUT', path, answerBytes: 0, isIdempotent: true, hasIdempotencyKey: false, minBodyBytes: MIN_UPLOAD_BODY_BYTES, maxBodyBytes }
}

const TERATAI_MIX: readonly ServiceMix[] = [
  {
    service: 'itinerary-svc',
    weight: 50,
    templates: [buildRead('itinerary', 80, '/itineraries'), buildRead('flight status', 20, '/flights')]
  },
  {
    service: 'escort-svc',
    weight: 25,
    templates: [buildRead('escort status', 75, '/escorts'), buildNonIdempotentWrite('assign escort', 25, '/assignments')]
  },
  {
    service: 'docs-svc',
    weight: 12,
    templates: [buildRead('consent state', 40, '/consents'), buildUpload('consent letter or scan', 60, '/uploads/scans', 300 * BYTES_PER_KIB)]
  },
  {
    service: 'billing-svc',
    weight: 13,
    templates: [buildRead('payment state', 50, '/invoices'), buildNonIdempotentWrite('payment', 50, '/payments')]
  }
]

const GUILD_MIX: readonly ServiceMix[] = [
  {
    service: 'sheet-archive',
    weight: 50,
    templates: [buildRead('job sheet', 90, '/sheets'), buildRead('permit', 10, '/permits')]
  },
  {
    service: 'closeout-desk',
    weight: 15,
    templates: [buildRead('closeout state', 50, '/closeouts'), buildNonIdempotentWrite('closeout', 50, '/closeouts')]
  },
  {
    service: 'photo-intake',
    weight: 20,
    templates: [buildRead('photo set state', 30, '/sets'), buildUpload('photos', 70, '/uploads/photos', 400 * BYTES_PER_KIB)]
  },
  {
    service: 'visit-ledger',
    weight: 15,
    templates: [buildRead('visits', 50, '/visits'), buildNonIdempotentWrite('billable visit', 50, '/visits')]
  }
]

/** The traffic mix of each deployment. */
export const MIX_BY_DEPLOYMENT: Readonly<Record<DeploymentName, readonly ServiceMix[]>> = {
  [DeploymentName.Teratai]: TERATAI_MIX,
  [DeploymentName.Guild]: GUILD_MIX
}
