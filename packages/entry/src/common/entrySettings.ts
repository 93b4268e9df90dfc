/**
 * The settings of an entry process, in JSON. Spans are written with their unit
 * (`250ms`, `2.5s`) and kept in milliseconds; unknown fields are ignored, so that
 * a newer platform may add some.
 */
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { LogLevel } from '@umberspar/base/common/logger'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import * as z from 'zod/mini'
import { parseSpan } from './span.js'

/** A span in milliseconds, as text or as a number. */
const span = z.pipe(
  z.union([z.number().check(z.nonnegative()), z.string()]),
  z.transform((value: number | string, context) => {
    const ms = typeof value === 'number' ? value : parseSpan(value)
    if (ms !== undefined) return ms
    context.issues.push({ code: 'custom', message: 'expected a span such as 250ms or 2.5s', input: value })
    return z.NEVER
  })
)
const name = z.string().check(z.minLength(1), z.maxLength(200))
const address = z.string().check(z.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'expected an IP address and a port'))
const positive = z.number().check(z.positive())

const entrySettings = z.object({
  node: name,
  domain: name,
  /** Failure domains with their regions. */
  regions: z.record(z.string(), name),
  listen: z.object({ callers: address, readiness: address, lookups: address, peers: address, metrics: address }),
  store: z.object({ address }),
  /** Other entry VMs to ask while the store does not answer and none is known. */
  seeds: z.array(address),
  /** From the signal to stop until the process must have ended. */
  grace: span,
  /** Within which changes must be in force on all VMs: of workers, of the configuration, of evacuations. The shortest binds. */
  changeLimits: z._default(z.array(span).check(z.minLength(1)), [2_000]),
  /** For which look-ups may name a VM that died. */
  goneWithin: z._default(span, 4_500),
  /** The longest time that callers may keep a look-up. */
  longestLookupCache: span,
  /** Within which a key that was taken away must run nothing more, at VMs that are cut off too; left out if only VMs that hear of changes are bound. */
  revokeWithin: z.optional(span),
  coldTolerance: z.object({ factor: positive, slack: z.number().check(z.nonnegative()) }),
  /** How far the rate limits that workers name may be exceeded in any 4 s. */
  rateTolerance: z._default(z.object({ factor: z.number().check(z.minimum(1)), slack: z.number().check(z.nonnegative()) }), { factor: 1.5, slack: 5 }),
  repeatBudget: z.object({ ratio: z.number().check(z.nonnegative()), window: span, slack: z.number().check(z.nonnegative()) }),
  /** How exactly the quotas of client accounts are kept. */
  quotaTolerance: z._default(z.object({ window: span, over: z.number().check(z.nonnegative()), slack: z.number().check(z.nonnegative()) }), { window: 5_000, over: 0.1, slack: 0 }),
  /** How long a request under which workers crash is refused. */
  quarantineSpan: z._default(span, 600_000),
  memoryMb: positive,
  /** What this VM's link carries each way, in megabits a second; left out if that is not known. */
  linkMbps: z.optional(positive),
  byteCosts: z._default(z.object({ otherDomain: z.number(), otherRegion: z.number() }), { otherDomain: 0.004, otherRegion: 0.013 }),
  logLevel: z._default(z.enum(LogLevel), LogLevel.Info)
})

/** A process's settings, checked. */
export type EntrySettings = z.infer<typeof entrySettings>

/**
 * @param text the settings file's text
 * @param file its path, for messages
 * @returns the settings, or an error that names the field
 */
export function parseEntrySettings (text: string, file: string): Result<EntrySettings, StepError> {
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch (thrown) {
    return Err(createSettingsError(file, `not JSON: ${(thrown as Error).message}`))
  }
  const result = entrySettings.safeParse(value)
  if (result.success) {
    if (result.data.regions[result.data.domain] !== undefined) return Ok(result.data)
    return Err(createSettingsError(file, `regions: has no entry for this VM's failure domain ${result.data.domain}`))
  }
  return Err(createSettingsError(file, formatIssues(result.error.issues)))
}

/**
 * @param issues what the schema found
 * @returns each with the path of its field
 */
export function formatIssues (issues: ReadonlyArray<{ readonly path: PropertyKey[], readonly message: string }>): string {
  return issues.map(({ path, message }) => `${path.join('.') || 'the whole'}: ${message}`).join('; ')
}

function createSettingsError (file: string, message: string): StepError {
  return new StepError({ code: ErrorCode.Invalid, step: 'read-settings', peer: file, message })
}
