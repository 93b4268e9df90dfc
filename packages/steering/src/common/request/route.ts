/** Finds the route of a request and whether the request is idempotent. */
import type { RouteConfiguration, ServiceConfiguration } from '../configuration/configurationSchema.js'
import { IdempotenceRule, RequestKind } from '../configuration/configurationSchema.js'

/** The route of requests that match no configured prefix. */
export const DEFAULT_ROUTE: RouteConfiguration = {
  prefix: '/',
  repeat: IdempotenceRule.ByMethod,
  kind: RequestKind.Call,
  priority: 5
}

/** The safe methods of RFC 9110, section 9.2.1; CONNECT, PUT and DELETE are not safe. */
const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'TRACE'])

const IDEMPOTENCE_RULES: Readonly<Record<IdempotenceRule, (method: string) => boolean>> = {
  [IdempotenceRule.ByMethod]: (method) => SAFE_METHODS.has(method.toUpperCase()),
  [IdempotenceRule.Idempotent]: () => true,
  [IdempotenceRule.NotIdempotent]: () => false
}

/** Matches paths that an upstream may normalize to a different path. */
const UNNORMALIZED_PATH = /%|\\|\/\/|\/\.{1,2}(\/|$)/

function decodePath (path: string): string {
  try {
    return decodeURIComponent(path)
  } catch {
    return path
  }
}

/**
 * Resolves percent-encoding, empty segments and dot segments. Otherwise `/x/../assign`
 * or `/%61ssign` would not match a route that declares `/assign` as not idempotent,
 * and a request that must run at most once would be retried.
 */
function parsePath (target: string): string {
  const path = target.split(/[?#]/, 1)[0] ?? ''
  if (!UNNORMALIZED_PATH.test(path)) return path
  const segments: string[] = []
  for (const segment of decodePath(path).split(/[/\\]/)) {
    if (segment === '..') segments.pop()
    else if (segment !== '' && segment !== '.') segments.push(segment)
  }
  return `/${segments.join('/')}`
}

/**
 * Finds the route with the longest matching prefix.
 * @param service the service's configuration
 * @param path the path below `/v1/services/S`, with or without a query
 * @returns the route, or {@link DEFAULT_ROUTE} if no prefix matches
 */
export function findRoute (service: ServiceConfiguration, path: string): RouteConfiguration {
  if (service.routes.length === 0) return DEFAULT_ROUTE
  const normalized = parsePath(path)
  let best: RouteConfiguration | undefined
  for (const route of service.routes) {
    if (normalized.startsWith(route.prefix) && route.prefix.length > (best?.prefix.length ?? 0)) best = route
  }
  return best ?? DEFAULT_ROUTE
}

/**
 * @param route the request's route
 * @param method the HTTP method
 * @returns whether the request may run more than once without additional effects
 */
export function isIdempotent (route: RouteConfiguration, method: string): boolean {
  return IDEMPOTENCE_RULES[route.repeat](method)
}
