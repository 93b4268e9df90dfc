/** Reads certificates and keys from files and checks them before anything uses them. */
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import { createPrivateKey, type KeyObject, X509Certificate } from 'node:crypto'
import { readFile } from 'node:fs/promises'
import { createSecureContext } from 'node:tls'

const LOAD_STEP = 'load-tls'
const PEM_CERTIFICATE_PATTERN = /-----BEGIN CERTIFICATE-----[\s\S]+?-----END CERTIFICATE-----/g

/** Where certificates are; which of them must be given is the settings' matter. */
export interface TlsFiles {
  readonly certificate?: string | undefined
  readonly key?: string | undefined
  readonly ca?: string | undefined
}

/** The contents of the files, in PEM. The key is never logged. */
export interface TlsMaterial {
  readonly certificate: Buffer | undefined
  readonly key: Buffer | undefined
  readonly ca: Buffer | undefined
  /** When the own certificate ends, as wall time. */
  readonly expiresAtWallMs: number | undefined
}

/**
 * Reads and checks the files of one `tls` section.
 * @param section the section's path in the settings, for errors
 * @param files the paths
 * @param nowWallMs the wall time; a certificate that has ended is refused
 * @returns the contents, or an error that names the field and the file; no error holds a file's content
 */
export async function loadTlsMaterial (section: string, files: TlsFiles, nowWallMs: number): Promise<Result<TlsMaterial, StepError>> {
  try {
    const certificates = await readCertificates(section, 'certificate', files.certificate)
    const key = await readOptionalFile(section, 'key', files.key)
    const caCertificates = await readCertificates(section, 'ca', files.ca)
    const material = { certificate: encodePem(certificates), key, ca: encodePem(caCertificates) }
    const leaf = certificates?.[0]
    const expiresAtWallMs = leaf === undefined ? undefined : checkIdentity(section, files, leaf, key, nowWallMs)
    checkContext(section, files, material)
    return new Ok({ ...material, expiresAtWallMs })
  } catch (thrown) {
    if (thrown instanceof StepError) return new Err(thrown)
    return new Err(createError(section, files.certificate ?? files.ca ?? section, thrown instanceof Error ? thrown.message : String(thrown)))
  }
}

async function readOptionalFile (section: string, name: string, path: string | undefined): Promise<Buffer | undefined> {
  if (path === undefined) return undefined
  try {
    return await readFile(path)
  } catch (cause) {
    const code = (cause as NodeJS.ErrnoException).code ?? 'unreadable'
    throw createError(`${section}.${name}`, path, `the file can't be read (${code})`)
  }
}

async function readCertificates (section: string, name: string, path: string | undefined): Promise<X509Certificate[] | undefined> {
  const pem = await readOptionalFile(section, name, path)
  if (pem === undefined) return undefined
  const field = `${section}.${name}`
  const blocks = pem.toString('latin1').match(PEM_CERTIFICATE_PATTERN) ?? []
  if (blocks.length === 0) throw createError(field, path ?? '', 'the file holds no certificate in PEM')
  try {
    return blocks.map((block) => new X509Certificate(block))
  } catch {
    throw createError(field, path ?? '', 'the file holds a certificate that can\'t be parsed')
  }
}

/**
 * Writes anew what was parsed. Two files joined without a line end between them
 * would pass the check here, while OpenSSL reads the first certificate only: a new
 * CA would look installed and not be trusted.
 */
function encodePem (certificates: readonly X509Certificate[] | undefined): Buffer | undefined {
  return certificates === undefined ? undefined : Buffer.from(certificates.map(String).join('\n'))
}

/** The first certificate of the file is the own one; intermediate ones follow. */
function checkIdentity (section: string, files: TlsFiles, leaf: X509Certificate, keyPem: Buffer | undefined, nowWallMs: number): number {
  const path = files.certificate ?? ''
  const expiresAtWallMs = Date.parse(leaf.validTo)
  if (expiresAtWallMs <= nowWallMs) throw createError(`${section}.certificate`, path, `the certificate ended at ${leaf.validTo}`)
  if (!leaf.checkPrivateKey(parseKey(section, files.key ?? '', keyPem))) {
    throw createError(`${section}.key`, files.key ?? '', 'the key does not belong to the certificate')
  }
  return expiresAtWallMs
}

function parseKey (section: string, path: string, pem: Buffer | undefined): KeyObject {
  try {
    return createPrivateKey(pem ?? '')
  } catch {
    throw createError(`${section}.key`, path, 'the file holds no private key in PEM without a passphrase')
  }
}

/** What OpenSSL refuses for its own reasons (a weak key, say) must show here, not at the first connection. */
function checkContext (section: string, files: TlsFiles, material: Pick<TlsMaterial, 'certificate' | 'key' | 'ca'>): void {
  try {
    createSecureContext(toContextOptions(material))
  } catch (cause) {
    throw createError(`${section}.certificate`, files.certificate ?? files.ca ?? '', `refused by the TLS library: ${(cause as NodeJS.ErrnoException).code ?? 'unknown'}`)
  }
}

/**
 * @param material checked contents
 * @returns them as Node.js's TLS takes them, absent ones left out
 */
export function toContextOptions ({ certificate, key, ca }: Pick<TlsMaterial, 'certificate' | 'key' | 'ca'>): { cert?: Buffer, key?: Buffer, ca?: Buffer } {
  return {
    ...(certificate === undefined ? {} : { cert: certificate }),
    ...(key === undefined ? {} : { key }),
    ...(ca === undefined ? {} : { ca })
  }
}

function createError (field: string, path: string, message: string): StepError {
  return new StepError({ code: ErrorCode.Invalid, step: LOAD_STEP, peer: path, message: `${field}: ${message}` })
}
