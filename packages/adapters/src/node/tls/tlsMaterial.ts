/** Reads certificates and keys from files and checks them before they are used. */
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import { createPrivateKey, type KeyObject, X509Certificate } from 'node:crypto'
import { readFile } from 'node:fs/promises'
import { createSecureContext } from 'node:tls'

const LOAD_STEP = 'load-tls'
const PEM_CERTIFICATE_PATTERN = /-----BEGIN CERTIFICATE-----[\s\S]+?-----END CERTIFICATE-----/g

/** Paths of the certificate files; the settings schema decides which of them are required. */
export interface TlsFiles {
  readonly certificate?: string | undefined
  readonly key?: string | undefined
  readonly ca?: string | undefined
}

/** The contents of the files, in PEM format. The key is never logged. */
export interface TlsMaterial {
  readonly certificate: Buffer | undefined
  readonly key: Buffer | undefined
  readonly ca: Buffer | undefined
  /** When this node's certificate expires, as wall time. */
  readonly expiresAtWallMs: number | undefined
}

/**
 * Reads and checks the files of one `tls` section.
 * @param section the section's path in the settings, for errors
 * @param files the paths
 * @param nowWallMs the current wall time; an expired certificate is rejected
 * @returns the contents, or an error that names the field and the file; errors never contain a file's contents
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
  if (blocks.length === 0) throw createError(field, path ?? '', 'the file contains no certificate in PEM format')
  try {
    return blocks.map((block) => new X509Certificate(block))
  } catch {
    throw createError(field, path ?? '', 'the file contains a certificate that can\'t be parsed')
  }
}

/**
 * Encodes the parsed certificates again. If two files were concatenated without a line
 * break in between, the file would pass the check here, but OpenSSL would read only the
 * first certificate: a new CA would seem to be installed and yet not be trusted.
 */
function encodePem (certificates: readonly X509Certificate[] | undefined): Buffer | undefined {
  return certificates === undefined ? undefined : Buffer.from(certificates.map(String).join('\n'))
}

/** Checks the first certificate of the file, which identifies this node; intermediate certificates follow it. */
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
    throw createError(`${section}.key`, path, 'the file contains no private key in PEM format without a passphrase')
  }
}

/** Lets OpenSSL check the files, so that what it rejects (a weak key, for example) is found now and not at the first connection. */
function checkContext (section: string, files: TlsFiles, material: Pick<TlsMaterial, 'certificate' | 'key' | 'ca'>): void {
  try {
    createSecureContext(toContextOptions(material))
  } catch (cause) {
    throw createError(`${section}.certificate`, files.certificate ?? files.ca ?? '', `rejected by the TLS library: ${(cause as NodeJS.ErrnoException).code ?? 'unknown'}`)
  }
}

/**
 * @param material the checked contents of the files
 * @returns the options of a Node.js secure context, without the absent files
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
