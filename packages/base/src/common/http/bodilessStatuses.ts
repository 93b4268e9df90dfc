/** Responses without a body whatever their head says. */

/** Responses with these statuses have neither a body nor a `Content-Length` (RFC 9110, section 8.6). */
export const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304])
