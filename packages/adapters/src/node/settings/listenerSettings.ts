/** Settings of listeners and connections: certificates, and limits against hostile senders. */
import { z } from 'zod'

const pemPathSchema = z.string().min(1, 'expected a path of a PEM file')
const serverNameSchema = z.string().min(1).max(253)
const durationMsSchema = z.number().int().min(1).max(86_400_000)

/** The callers' listener: a certificate of its own, callers show none. */
export const callersTlsSchema = z.strictObject({ certificate: pemPathSchema, key: pemPathSchema })

/** The operators' listener: with `ca`, only clients with a certificate of that CA may connect. */
export const operatorsTlsSchema = z.strictObject({ certificate: pemPathSchema, key: pemPathSchema, ca: pemPathSchema.optional() })

/** Between daemons: both sides show a certificate of the deployment's CA. */
export const peersTlsSchema = z.strictObject({
  certificate: pemPathSchema,
  key: pemPathSchema,
  ca: pemPathSchema,
  /** The name that peers' certificates carry; without it they carry the peer's IP number. */
  serverName: serverNameSchema.optional()
})

/** Towards the store or the workers; a client certificate is optional. */
export const clientTlsSchema = z.strictObject({
  ca: pemPathSchema,
  certificate: pemPathSchema.optional(),
  key: pemPathSchema.optional(),
  /** The name that the other side's certificate carries; without it, its IP number. */
  serverName: serverNameSchema.optional()
}).refine((tls) => (tls.certificate === undefined) === (tls.key === undefined), 'expected certificate and key together, or neither')

/** Limits of an HTTP listener. */
export const listenerLimitsSchema = z.strictObject({
  /** Bytes of the request line and all header fields. */
  maxHeaderBytes: z.number().int().min(1024).max(1_048_576).default(16_384),
  maxHeaderFields: z.number().int().min(8).max(10_000).default(100),
  /** Bytes of the request's target. */
  maxTargetBytes: z.number().int().min(64).max(1_048_576).default(8192),
  maxConnections: z.number().int().min(1).max(1_000_000).default(4096),
  /** Connections of one client address; trusted forwarders carry many clients and are exempt. */
  maxConnectionsPerAddress: z.number().int().min(1).max(1_000_000).default(512),
  maxRequestsPerConnection: z.number().int().min(1).max(1_000_000_000).default(10_000),
  /** From the first byte (or the connection) to the end of the header; TLS handshakes as well. */
  headersWithinMs: durationMsSchema.default(10_000),
  /** While a body is waited for, at least `minBodyBytes` come within each such span. */
  bodyProgressWithinMs: durationMsSchema.default(30_000),
  minBodyBytes: z.number().int().min(1).default(512),
  /** How long a connection may be idle between two requests. */
  idleWithinMs: durationMsSchema.default(5000)
}).refine((limits) => limits.maxTargetBytes < limits.maxHeaderBytes, { path: ['maxTargetBytes'], message: 'expected less than maxHeaderBytes, which counts the target too' })

/** Limits of an HTTP listener, checked. */
export type ListenerLimits = z.output<typeof listenerLimitsSchema>

/** What applies where settings name no limits. */
export const DEFAULT_LISTENER_LIMITS: ListenerLimits = listenerLimitsSchema.parse({})
