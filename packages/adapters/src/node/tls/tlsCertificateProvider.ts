/** Holds the certificates of one `tls` section of the settings and replaces them without a restart. */
import type { experimental } from '@grpc/grpc-js'
import type { IClock } from '@umberspar/base/common/clock'
import type { IClosable } from '@umberspar/base/common/closing'
import type { StepError } from '@umberspar/base/common/errors'
import { Emitter } from '@umberspar/base/common/event'
import { type ILogger, logError, LogLevel } from '@umberspar/base/common/logger'
import { Ok, type Result } from '@umberspar/base/common/result'
import { createSecureContext, type SecureContext } from 'node:tls'
import { loadTlsMaterial, type TlsFiles, type TlsMaterial, toContextOptions } from './tlsMaterial.js'

type CaListener = experimental.CaCertificateUpdateListener
type IdentityListener = experimental.IdentityCertificateUpdateListener

/** Options of {@link TlsCertificateProvider}. */
export interface TlsCertificateProviderOptions {
  /** The section's path in the settings, for example `peers.tls`. */
  readonly section: string
  readonly files: TlsFiles
  /** The name expected in the peer's certificate instead of its address. */
  readonly serverName?: string | undefined
  readonly clock: IClock
  readonly logger: ILogger
}

/**
 * Provides the certificates of one `tls` section. As a gRPC certificate provider, it makes
 * gRPC servers and channels use the current certificates for new connections.
 */
export class TlsCertificateProvider implements IClosable, experimental.CertificateProvider {
  private readonly changeEmitter = new Emitter<TlsMaterial>()
  private readonly caListeners = new Set<CaListener>()
  private readonly identityListeners = new Set<IdentityListener>()
  private secureContext: SecureContext | undefined
  private pendingRenewal: Promise<boolean> | undefined

  /** Fires after the certificates have been replaced by renewed ones. */
  readonly onDidChange = this.changeEmitter.event

  private constructor (private readonly options: TlsCertificateProviderOptions, private material: TlsMaterial) {}

  /**
   * Reads and checks the files of a section.
   * @param options section, files and other options
   * @returns a provider of the certificates, or an error if the files can't be used
   */
  static async load (options: TlsCertificateProviderOptions): Promise<Result<TlsCertificateProvider, StepError>> {
    const loaded = await loadTlsMaterial(options.section, options.files, options.clock.getWallTime())
    if (!loaded.ok) return loaded
    const provider = new TlsCertificateProvider(options, loaded.val)
    provider.logMaterial('certificates loaded')
    return new Ok(provider)
  }

  /** The current certificates. */
  get current (): TlsMaterial {
    return this.material
  }

  /** The name expected in the peer's certificate; if undefined, its address is expected. */
  get serverName (): string | undefined {
    return this.options.serverName
  }

  /** Whether a CA is configured, so that peers must present a certificate issued by it. */
  get hasCa (): boolean {
    return this.material.ca !== undefined
  }

  /**
   * Parsing the certificates is about a sixth of the cost of a new connection, so all
   * connections share one context until the next renewal.
   * @returns a context with the current certificates
   */
  getSecureContext (): SecureContext {
    this.secureContext ??= createSecureContext(toContextOptions(this.material))
    return this.secureContext
  }

  /**
   * Reads the files again. Calls made while they are being read share that read.
   * @returns whether the certificates have been replaced
   */
  renew (): Promise<boolean> {
    this.pendingRenewal ??= this.loadRenewed().finally(() => { this.pendingRenewal = undefined })
    return this.pendingRenewal
  }

  addCaCertificateListener (listener: CaListener): void {
    this.caListeners.add(listener)
    // gRPC registers its own watcher only after this call. A synchronous update would be
    // lost, and the gRPC server would drop every connection.
    queueMicrotask(() => { if (this.caListeners.has(listener)) this.sendCaUpdate(listener) })
  }

  removeCaCertificateListener (listener: CaListener): void {
    this.caListeners.delete(listener)
  }

  addIdentityCertificateListener (listener: IdentityListener): void {
    this.identityListeners.add(listener)
    queueMicrotask(() => { if (this.identityListeners.has(listener)) this.sendIdentityUpdate(listener) })
  }

  removeIdentityCertificateListener (listener: IdentityListener): void {
    this.identityListeners.delete(listener)
  }

  close (): void {
    this.changeEmitter.close()
    this.caListeners.clear()
    this.identityListeners.clear()
  }

  /**
   * Files that are partly written (a new certificate with the old key), truncated or
   * expired would leave the daemon unable to open any connection. Therefore all files are
   * checked first, and the old certificates stay in use until a check succeeds.
   */
  private async loadRenewed (): Promise<boolean> {
    const { section, files, clock, logger } = this.options
    const loaded = await loadTlsMaterial(section, files, clock.getWallTime())
    if (!loaded.ok) {
      logError(logger, LogLevel.Error, loaded.val)
      return false
    }
    if (isSameMaterial(loaded.val, this.material)) return false
    this.material = loaded.val
    this.secureContext = undefined
    this.logMaterial('certificates renewed')
    for (const listener of this.caListeners) this.sendCaUpdate(listener)
    for (const listener of this.identityListeners) this.sendIdentityUpdate(listener)
    this.changeEmitter.fire(loaded.val)
    return true
  }

  private sendCaUpdate (listener: CaListener): void {
    const { ca } = this.material
    listener(ca === undefined ? null : { caCertificate: ca })
  }

  private sendIdentityUpdate (listener: IdentityListener): void {
    const { certificate, key } = this.material
    listener(certificate === undefined || key === undefined ? null : { certificate, privateKey: key })
  }

  private logMaterial (message: string): void {
    const { section, logger } = this.options
    const { expiresAtWallMs } = this.material
    logger.log(LogLevel.Info, { step: 'load-tls', section, ...(expiresAtWallMs === undefined ? {} : { expiresAt: new Date(expiresAtWallMs).toISOString() }) }, message)
  }
}

function isSameMaterial (one: TlsMaterial, other: TlsMaterial): boolean {
  return isSameContent(one.certificate, other.certificate) && isSameContent(one.key, other.key) && isSameContent(one.ca, other.ca)
}

function isSameContent (one: Buffer | undefined, other: Buffer | undefined): boolean {
  if (one === undefined || other === undefined) return one === other
  return one.equals(other)
}
