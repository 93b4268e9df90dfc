/** What the libraries take in place of plain text: credentials for gRPC, connect options for undici. */
import { experimental, type ServerCredentials } from '@grpc/grpc-js'
import { checkServerIdentity, type SecureContext } from 'node:tls'
import type { ChannelSecurityFactory } from '../grpc/grpcCalls.js'
import type { TlsKeeper } from './tlsKeeper.js'

/** Sent where the other side is known by its IP number only (RFC 6761: never a real name). */
const PLACEHOLDER_SERVER_NAME = 'umberspar.invalid'

/** TLS options for one new connection to a worker. */
export interface ConnectTls {
  readonly secureContext: SecureContext
  readonly servername?: string
}

/**
 * @param provider with certificate, key and CA
 * @returns credentials of a gRPC server that takes only clients with a certificate of the CA
 */
export function createServerCredentials (provider: TlsKeeper): ServerCredentials {
  return experimental.createCertificateProviderServerCredentials(provider, provider, true)
}

/**
 * @param provider with a CA, and with certificate and key where the server asks for them
 * @returns the security of gRPC channels; each new connection uses the current certificates
 */
export function createChannelSecurity (provider: TlsKeeper): ChannelSecurityFactory {
  const identity = provider.current.certificate === undefined ? null : provider
  return (address) => {
    const expectedName = provider.serverName ?? new URL(`https://${address}`).hostname.replace(/^\[|\]$/g, '')
    // gRPC would send the address as server name, which TLS does not allow for IP
    // numbers; so another name is sent, and the certificate is checked against the address.
    const credentials = experimental.createCertificateProviderChannelCredentials(provider, identity, {
      checkServerIdentity: (_sentName, certificate) => checkServerIdentity(expectedName, certificate)
    })
    return { credentials, options: { 'grpc.ssl_target_name_override': provider.serverName ?? PLACEHOLDER_SERVER_NAME } }
  }
}

/**
 * @param provider with a CA, and with certificate and key where the worker asks for them
 * @returns what a new connection uses now
 */
export function buildConnectTls (provider: TlsKeeper): ConnectTls {
  const { serverName } = provider
  const secureContext = provider.getSecureContext()
  return serverName === undefined ? { secureContext } : { secureContext, servername: serverName }
}
