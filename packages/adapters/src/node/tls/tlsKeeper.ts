/** Keeps one section's certificates and takes over renewed ones without a restart. */
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

/** What a TlsKeeper needs. */
export interface TlsKeeperOptions {
  /** The section's path in the settings, for example `peers.tls`. */
  readonly section: string
  readonly files: TlsFiles
  /** The name expected in the other side's certificate, in place of its address. */
  readonly serverName?: string | undefined
  readonly clock: IClock
  readonly logger: ILogger
}

/**
 * One section's certificates. It is a certificate provider for gRPC, whose
 * servers and channels then use the current certificates for new connections.
 */
export class TlsKeeper implements IClosable, experimental.CertificateProvider {
  private readonly changeEmitter = new Emitter<TlsMaterial>()
  private readonly caListeners = new Set<CaListener>()
  private readonly identityListeners = new Set<IdentityListener>()
  private secureContext: SecureContext | undefined
  private pendingRenewal: Promise<boolean> | undefined

  /** Fires after renewed certificates were taken over. */
  readonly onDidChange = this.changeEmitter.event

  private constructor (private readonly options: TlsKeeperOptions, private material: TlsMaterial) {}

  /**
   * @param options section and files
   * @returns a keeper with checked certificates, or why the files can't be used
   */
  static async load (options: TlsKeeperOptions): Promise<Result<TlsKeeper, StepError>> {
    const loaded = await loadTlsMaterial(options.section, options.files, options.clock.getWallTime())
    if (!loaded.ok) return loaded
    const provider = new TlsKeeper(options, loaded.val)
    provider.logMaterial('certificates loaded')
    return new Ok(provider)
  }

  /** The certificates in use. */
  get current (): TlsMaterial {
    return this.material
  }

  /** The name expected in the other side's certificate; undefined: its address. */
  get serverName (): string | undefined {
    return this.options.serverName
  }

  /** Whether a CA is given, so that the other side has to show a certificate of it. */
  get hasCa (): boolean {
    return this.material.ca !== undefined
  }

  /**
   * Parsing certificates anew is about a sixth of a connection's cost; all
   * connections until the next renewal share one context.
   * @returns the certificates as connections use them
   */
  getSecureContext (): SecureContext {
    this.secureContext ??= createSecureContext(toContextOptions(this.material))
    return this.secureContext
  }

  /**
   * Reads the files again. Calls that come while they are read share that read.
   * @returns whether renewed certificates were taken over
   */
  renew (): Promise<boolean> {
    this.pendingRenewal ??= this.loadRenewed().finally(() => { this.pendingRenewal = undefined })
    return this.pendingRenewal
  }

  addCaCertificateListener (listener: CaListener): void {
    this.caListeners.add(listener)
    // gRPC registers its own watcher only after this call; told at once, the
    // update would reach nobody and its server would drop every connection.
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
   * A renewal that is half written (the certificate is new, the key still old),
   * truncated or ended would leave the daemon unable to speak to anybody. It is
   * checked whole first; the old certificates stay until a check succeeds.
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
