/** The workloads of the two deployments: which requests their callers send, how often and how large. */

/** The deployments that the brief describes. */
export enum DeploymentName {
  Teratai = 'teratai',
  Guild = 'guild'
}

/** One kind of request of a service. */
export interface RequestTemplate {
  /** In reports. */
  readonly name: string
  /** Its share among the service's requests. */
  readonly weight: number
  readonly method: 'GET' | 'HEAD' | 'POST' | 'PUT'
  /** Below `/v1/services/S`; a request number is appended. */
  readonly path: string
  /** Size of the item asked for, in bytes; 0 if the answer is the worker's own report. */
  readonly answerBytes: number
  /** Whether the caller may send it again without knowing whether it ran. */
  readonly isIdempotent: boolean
  /** Whether it carries an Idempotency-Key. */
  readonly hasKey: boolean
  /** Sizes of the body in bytes, spread evenly; both 0 for none. */
  readonly minBodyBytes: number
  readonly maxBodyBytes: number
}

/** One service's part of a workload. */
export interface ServiceMix {
  readonly service: string
  /** Its share among the deployment's requests. */
  readonly weight: number
  readonly templates: readonly RequestTemplate[]
}

const KB = 1024
const SMALL_BODY_MIN = 200
const SMALL_BODY_MAX = 2 * KB
const UPLOAD_BODY_MIN = 20 * KB

const ITEM_BYTES = 4 * KB

/** A look-up of callers' data; worker stand-ins make the bytes of `/items/` from path and request id. */
function buildRead (name: string, weight: number, path: string): RequestTemplate {
  return {
    name, weight, method: 'GET', path: `/items${path}`, answerBytes: ITEM_BYTES, isIdempotent: true, hasKey: false, minBodyBytes: 0, maxBodyBytes: 0
  }
}

/** A write that must run at most once. */
function buildOnce (name: string, weight: number, path: string): RequestTemplate {
  return {
    name, weight, method: 'POST', path, answerBytes: 0, isIdempotent: false, hasKey: true, minBodyBytes: SMALL_BODY_MIN, maxBodyBytes: SMALL_BODY_MAX
  }
}

function buildUpload (name: string, weight: number, path: string, maxBodyBytes: number): RequestTemplate {
  return { name, weight, method: 'PUT', path, answerBytes: 0, isIdempotent: true, hasKey: false, minBodyBytes: UPLOAD_BODY_MIN, maxBodyBytes }
}

const TERATAI: readonly ServiceMix[] = [
  {
    service: 'itinerary-svc',
    weight: 50,
    templates: [buildRead('itinerary', 80, '/itineraries'), buildRead('flight status', 20, '/flights')]
  },
  {
    service: 'escort-svc',
    weight: 25,
    templates: [buildRead('escort status', 75, '/escorts'), buildOnce('assign escort', 25, '/assignments')]
  },
  {
    service: 'docs-svc',
    weight: 12,
    templates: [buildRead('consent state', 40, '/consents'), buildUpload('consent letter or scan', 60, '/uploads/scans', 300 * KB)]
  },
  {
    service: 'billing-svc',
    weight: 13,
    templates: [buildRead('payment state', 50, '/invoices'), buildOnce('payment', 50, '/payments')]
  }
]

const GUILD: readonly ServiceMix[] = [
  {
    service: 'sheet-archive',
    weight: 50,
    templates: [buildRead('job sheet', 90, '/sheets'), buildRead('permit', 10, '/permits')]
  },
  {
    service: 'closeout-desk',
    weight: 15,
    templates: [buildRead('closeout state', 50, '/closeouts'), buildOnce('closeout', 50, '/closeouts')]
  },
  {
    service: 'photo-intake',
    weight: 20,
    templates: [buildRead('photo set state', 30, '/sets'), buildUpload('photos', 70, '/uploads/photos', 400 * KB)]
  },
  {
    service: 'visit-ledger',
    weight: 15,
    templates: [buildRead('visits', 50, '/visits'), buildOnce('billable visit', 50, '/visits')]
  }
]

/** What the callers of each deployment send. */
export const MIX_BY_DEPLOYMENT: Readonly<Record<DeploymentName, readonly ServiceMix[]>> = {
  [DeploymentName.Teratai]: TERATAI,
  [DeploymentName.Guild]: GUILD
}
