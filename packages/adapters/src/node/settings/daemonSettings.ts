/** The settings file of a daemon: its addresses, its failure domain, and how to reach the platform. */
import { z } from 'zod'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { LogLevel } from '@umberspar/base/common/logger'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import { readFile } from 'node:fs/promises'
import { callersTlsSchema, clientTlsSchema, listenerLimitsSchema, operatorsTlsSchema, peersTlsSchema } from './listenerSettings.js'

const addressSchema = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'expected an IP address and port, like 10.0.0.1:8080 or [::1]:8080')
const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected at most 63 lower-case letters, digits and hyphens')
const DEFAULT_CERTIFICATE_REREAD_MS = 60_000
const MIN_CERTIFICATE_REREAD_MS = 100
const MAX_CERTIFICATE_REREAD_MS = 86_400_000

/** Schema of the settings file of `umberspard`. */
export const daemonSettingsSchema = z.strictObject({
  /** Unique among all entry VMs; identifies this VM in the platform's VM list. */
  nodeId: nameSchema,
  region: nameSchema,
  failureDomain: nameSchema,
  /** Listener for callers' look-ups and requests. */
  callers: z.strictObject({ address: addressSchema, tls: callersTlsSchema.optional(), limits: listenerLimitsSchema.optional() }),
  /** Listener for other daemons, over gRPC. */
  peers: z.strictObject({ address: addressSchema, tls: peersTlsSchema.optional() }),
  /** Listener for operators, probes and status. */
  operators: z.strictObject({ address: addressSchema, tls: operatorsTlsSchema.optional(), limits: listenerLimitsSchema.optional() }),
  /** Connections to workers; plain text without `tls`. */
  upstreams: z.strictObject({ tls: clientTlsSchema.optional() }).optional(),
  store: z.strictObject({
    endpoints: z.array(addressSchema).min(1),
    keyPrefix: z.string().regex(/^\/.*\/$/, 'expected a key prefix that begins and ends with /'),
    tls: clientTlsSchema.optional()
  }),
  vmList: z.strictObject({ url: z.url({ protocol: /^https?$/ }) }),
  /** Address of StatsD; without it no metrics are sent. */
  statsd: z.strictObject({ host: z.string().min(1), port: z.number().int().min(1).max(65_535) }).optional(),
  /** How often the files of all `tls` sections are read again; SIGHUP rereads them immediately. */
  certificateRereadMs: z.number().int().min(MIN_CERTIFICATE_REREAD_MS).max(MAX_CERTIFICATE_REREAD_MS).default(DEFAULT_CERTIFICATE_REREAD_MS).optional(),
  /** Address ranges whose X-Forwarded-For header is trusted. */
  trustedForwarders: z.array(z.union([z.cidrv4(), z.cidrv6()])).default([]),
  logLevel: z.enum(LogLevel).default(LogLevel.Info)
})

/** Validated settings of a daemon. */
export type DaemonSettings = z.output<typeof daemonSettingsSchema>

/** A reason why settings are rejected. */
export interface SettingsProblem {
  /** Dotted path of the field; empty for the whole file. */
  readonly path: string
  readonly message: string
}

/**
 * @param input parsed JSON
 * @returns the settings, or all problems found
 */
export function validateDaemonSettings (input: unknown): Result<DaemonSettings, SettingsProblem[]> {
  const parsed = daemonSettingsSchema.safeParse(input)
  if (parsed.success) return new Ok(parsed.data)
  return new Err(parsed.error.issues.map((issue) => ({ path: issue.path.join('.'), message: issue.message })))
}

/**
 * Reads and validates a settings file.
 * @param file path of a JSON file
 * @returns the settings, or an error whose message lists every problem with its path
 */
export async function loadDaemonSettings (file: string): Promise<Result<DaemonSettings, StepError>> {
  const step = 'load-settings'
  let input: unknown
  try {
    input = JSON.parse(await readFile(file, 'utf8'))
  } catch (cause) {
    const message = cause instanceof Error ? cause.message : String(cause)
    return new Err(new StepError({ code: ErrorCode.Invalid, step, peer: file, message, cause }))
  }
  const checked = validateDaemonSettings(input)
  if (checked.ok) return new Ok(checked.val)
  const message = checked.val.map((problem) => `${problem.path || '(file)'}: ${problem.message}`).join('; ')
  return new Err(new StepError({ code: ErrorCode.Invalid, step, peer: file, message }))
}
