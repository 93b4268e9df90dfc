/** Settings of listeners and connections: certificates, and limits that protect against hostile clients. */
import { z } from 'zod'

const pemPathSchema = z.string().min(1, 'expected the path of a PEM file')
const serverNameSchema = z.string().min(1).max(253)
const durationMsSchema = z.number().int().min(1).max(86_400_000)

/** TLS of the callers' listener; callers present no certificate. */
export const callersTlsSchema = z.strictObject({ certificate: pemPathSchema, key: pemPathSchema })

/** TLS of the operators' listener; with `ca`, only clients with a certificate issued by that CA may connect. */
export const operatorsTlsSchema = z.strictObject({ certificate: pemPathSchema, key: pemPathSchema, ca: pemPathSchema.optional() })

/** Mutual TLS between daemons: both sides present a certificate issued by the deployment's CA. */
export const peersTlsSchema = z.strictObject({
  certificate: pemPathSchema,
  key: pemPathSchema,
  ca: pemPathSchema,
  /** The name in peers' certificates; without it, certificates must contain the peer's IP address. */
  serverName: serverNameSchema.optional()
})

/** TLS of connections to the store or the workers; a client certificate is optional. */
export const clientTlsSchema = z.strictObject({
  ca: pemPathSchema,
  certificate: pemPathSchema.optional(),
  key: pemPathSchema.optional(),
  /** The name in the server's certificate; without it, the certificate must contain the server's IP address. */
  serverName: serverNameSchema.optional()
}).refine((tls) => (tls.certificate === undefined) === (tls.key === undefined), 'expected both certificate and key, or neither')

/** Limits of an HTTP listener. */
export const listenerLimitsSchema = z.strictObject({
  /** Total size of the request line and all header fields. */
  maxHeaderBytes: z.number().int().min(1024).max(1_048_576).default(16_384),
  maxHeaderFields: z.number().int().min(8).max(10_000).default(100),
  /** Size of the request target. */
  maxTargetBytes: z.number().int().min(64).max(1_048_576).default(8192),
  maxConnections: z.number().int().min(1).max(1_000_000).default(4096),
  /** Connections per client address; trusted forwarders are exempt, as they carry many clients. */
  maxConnectionsPerAddress: z.number().int().min(1).max(1_000_000).default(512),
  maxRequestsPerConnection: z.number().int().min(1).max(1_000_000_000).default(10_000),
  /** Requests of one connection that are in flight at a time; those that a client sends ahead wait in its socket. */
  maxPipelinedRequests: z.number().int().min(1).max(1_000).default(8),
  /** What all connections hold together beside bodies: input that waits, heads and unsent responses. Beyond it, the connection that holds most is closed. */
  maxBufferedBytes: z.number().int().min(1_048_576).max(1_073_741_824).default(33_554_432),
  /** From the first byte (or the start of the connection) to the end of the header; also limits TLS handshakes. */
  headersWithinMs: durationMsSchema.default(10_000),
  /** While a request body is being received, at least `minBodyBytes` must arrive within each period of this length. */
  bodyProgressWithinMs: durationMsSchema.default(30_000),
  minBodyBytes: z.number().int().min(1).default(512),
  /** How long a connection may be idle between requests. */
  idleWithinMs: durationMsSchema.default(5000)
}).refine((limits) => limits.maxTargetBytes < limits.maxHeaderBytes, { path: ['maxTargetBytes'], message: 'expected less than maxHeaderBytes, which includes the target' })

/** Validated limits of an HTTP listener. */
export type ListenerLimits = z.output<typeof listenerLimitsSchema>

/** The limits of a listener whose settings specify none. */
export const DEFAULT_LISTENER_LIMITS: ListenerLimits = listenerLimitsSchema.parse({})
