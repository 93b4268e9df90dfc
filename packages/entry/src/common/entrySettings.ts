/**
 * The settings of an entry process, in JSON. Durations are written with their unit (`250ms`,
 * `2.5s`) and parsed to milliseconds. Unknown fields are ignored, so that newer versions of the
 * platform may add some.
 */
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { LogLevel } from '@umberspar/base/common/logger'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import * as z from 'zod/mini'
import { parseDuration } from './duration.js'

/** A duration, as text with a unit or as a number of milliseconds. */
const duration = z.pipe(
  z.union([z.number().check(z.nonnegative()), z.string()]),
  z.transform((value: number | string, context) => {
    const ms = typeof value === 'number' ? value : parseDuration(value)
    if (ms !== undefined) return ms
    context.issues.push({ code: 'custom', message: 'expected a duration such as 250ms or 2.5s', input: value })
    return z.NEVER
  })
)
const shortText = z.string().check(z.minLength(1), z.maxLength(200))
const ipAddressAndPort = z.string().check(z.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'expected an IP address and a port'))
const positiveNumber = z.number().check(z.positive())

const entrySettingsSchema = z.object({
  node: shortText,
  domain: shortText,
  /** Regions by failure domain. */
  regions: z.record(z.string(), shortText),
  /** `exchange` is where datagrams of other entry VMs about load are received; without it the VM takes no part. */
  listen: z.object({ callers: ipAddressAndPort, readiness: ipAddressAndPort, lookups: ipAddressAndPort, peers: ipAddressAndPort, metrics: ipAddressAndPort, exchange: z.optional(ipAddressAndPort) }),
  store: z.object({ address: ipAddressAndPort }),
  /** Other entry VMs to fetch the records from if the store doesn't respond and no other VM is known. */
  seeds: z.array(ipAddressAndPort),
  /** Time from the stop signal until the process must have exited. */
  grace: duration,
  /** Time limits for changes of workers, the configuration and evacuations to take effect on all VMs. The shortest one applies to all. */
  changeLimits: z._default(z.array(duration).check(z.minLength(1)), [2_000]),
  /** How long look-ups may still name a VM that crashed. */
  goneWithin: z._default(duration, 4_500),
  /** Requests that arrive later than this after a connection fell silent must not be sent on it. */
  maxLinkSilence: z._default(duration, 3_000),
  /** How long callers may cache a look-up at most. */
  longestLookupCache: duration,
  /** Time limit for a revoked key to stop working on all VMs, including partitioned ones. If omitted, there is no limit for VMs that don't receive changes. */
  revokeWithin: z.optional(duration),
  /** How far the request rate that a cold worker tolerates may be exceeded: a factor, and requests per second on top. */
  coldTolerance: z.object({ factor: positiveNumber, slack: z.number().check(z.nonnegative()) }),
  /** How far the rate limits that workers announce may be exceeded in any 4 s. */
  rateTolerance: z._default(z.object({ factor: z.number().check(z.minimum(1)), slack: z.number().check(z.nonnegative()) }), { factor: 1.5, slack: 5 }),
  /** Limits the retries of a service in a sliding window: retries per request, and an allowance on top for all entry VMs together. */
  repeatBudget: z.object({ ratio: z.number().check(z.nonnegative()), window: duration, slack: z.number().check(z.nonnegative()) }),
  /** How far client accounts may exceed their quotas. */
  quotaTolerance: z._default(z.object({ window: duration, over: z.number().check(z.nonnegative()), slack: z.number().check(z.nonnegative()) }), { window: 5_000, over: 0.1, slack: 0 }),
  /** How long a request that crashes workers stays quarantined. */
  quarantineSpan: z._default(duration, 600_000),
  /** The part of a region's requests that placement by demand may move to other regions within two seconds. If omitted, demand counts as equal in all failure domains. */
  maxShift: z.optional(z.number().check(z.positive(), z.maximum(1))),
  memoryMb: positiveNumber,
  /** Descriptors that the process may have open: files, and connections of all kinds. */
  maxDescriptors: z._default(z.int().check(z.minimum(64)), 4_096),
  /** Bandwidth of this VM's network link in each direction, in megabits per second; omitted if unknown. */
  linkMbps: z.optional(positiveNumber),
  /** Cost of a kilobyte sent to another failure domain or region, relative to the worth of a response in time. */
  byteCosts: z._default(z.object({ otherDomain: z.number(), otherRegion: z.number() }), { otherDomain: 0.004, otherRegion: 0.013 }),
  logLevel: z._default(z.enum(LogLevel), LogLevel.Info)
})

/** The validated settings of an entry process. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>

/**
 * @param text content of the settings file
 * @param file path of the settings file, for error messages
 * @returns the settings, or an error that names the invalid fields
 */
export function parseEntrySettings (text: string, file: string): Result<EntrySettings, StepError> {
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch (thrown) {
    return Err(createSettingsError(file, `not JSON: ${(thrown as Error).message}`))
  }
  const result = entrySettingsSchema.safeParse(value)
  if (result.success) {
    if (result.data.regions[result.data.domain] !== undefined) return Ok(result.data)
    return Err(createSettingsError(file, `regions: the failure domain of this VM, ${result.data.domain}, is missing`))
  }
  return Err(createSettingsError(file, formatIssues(result.error.issues)))
}

/**
 * @param issues the issues that the schema validation found
 * @returns the messages, each with the path of its field
 */
export function formatIssues (issues: ReadonlyArray<{ readonly path: PropertyKey[], readonly message: string }>): string {
  return issues.map(({ path, message }) => `${path.join('.') || 'top level'}: ${message}`).join('; ')
}

function createSettingsError (file: string, message: string): StepError {
  return new StepError({ code: ErrorCode.Invalid, step: 'read-settings', peer: file, message })
}
