/** Builds the TLS options of the libraries: credentials for gRPC, connect options for undici. */
import { experimental, type ServerCredentials } from '@grpc/grpc-js'
import { checkServerIdentity, type SecureContext } from 'node:tls'
import type { ChannelSecurityFactory } from '../grpc/grpcCalls.js'
import type { TlsCertificateProvider } from './tlsCertificateProvider.js'

/** Sent as server name where the server is known only by its IP address; `.invalid` is reserved by RFC 6761 and never resolves. */
const PLACEHOLDER_SERVER_NAME = 'umberspar.invalid'

/** TLS options for one new connection to a worker. */
export interface ConnectTls {
  readonly secureContext: SecureContext
  readonly servername?: string
}

/**
 * @param provider provides certificate, key and CA
 * @returns credentials of a gRPC server that accepts only clients with a certificate issued by the CA
 */
export function createServerCredentials (provider: TlsCertificateProvider): ServerCredentials {
  return experimental.createCertificateProviderServerCredentials(provider, provider, true)
}

/**
 * @param provider provides the CA, and certificate and key if the server requires them
 * @returns the security settings of gRPC channels; each new connection uses the current certificates
 */
export function createChannelSecurity (provider: TlsCertificateProvider): ChannelSecurityFactory {
  const identity = provider.current.certificate === undefined ? null : provider
  return (address) => {
    const expectedName = provider.serverName ?? new URL(`https://${address}`).hostname.replace(/^\[|\]$/g, '')
    // gRPC would send the address as server name, which TLS does not allow for IP addresses.
    // So a placeholder is sent, and the certificate is checked against the expected name.
    const credentials = experimental.createCertificateProviderChannelCredentials(provider, identity, {
      checkServerIdentity: (_sentName, certificate) => checkServerIdentity(expectedName, certificate)
    })
    return { credentials, options: { 'grpc.ssl_target_name_override': provider.serverName ?? PLACEHOLDER_SERVER_NAME } }
  }
}

/**
 * @param provider provides the CA, and certificate and key if the worker requires them
 * @returns TLS options with the current certificates
 */
export function buildConnectTls (provider: TlsCertificateProvider): ConnectTls {
  const { serverName } = provider
  const secureContext = provider.getSecureContext()
  return serverName === undefined ? { secureContext } : { secureContext, servername: serverName }
}
