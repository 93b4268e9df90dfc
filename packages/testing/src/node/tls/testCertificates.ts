/** Certificates for tests and measurements; made anew each time, nothing of them is committed. */
import { generate } from 'selfsigned'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { IClosable } from '@umberspar/base/common/closing'
import { SystemClock } from '@umberspar/base/node/systemClock'

const DAY_MS = 86_400_000
const VALID_DAYS = 30
/** Clocks differ; a certificate is valid a little before it was made. */
const EARLY_DAYS = 1

/** A certificate and its key, in PEM. */
export interface CertifiedKey {
  readonly certificate: string
  readonly key: string
}

/** Who a certificate is for. */
export interface CertificateRequest {
  readonly name: string
  /** IP numbers at which the holder is reached. */
  readonly addresses?: readonly string[]
  /** Whether it ended yesterday. */
  readonly hasEnded?: boolean
}

/** A certificate authority that lives as long as a test. */
export class TestAuthority {
  private constructor (private readonly own: CertifiedKey) {}

  /** The CA's certificate in PEM. */
  get certificate (): string {
    return this.own.certificate
  }

  /**
   * @param name the CA's name
   * @returns a new CA with a new key
   */
  static async create (name: string): Promise<TestAuthority> {
    const made = await generate([{ name: 'commonName', value: name }], {
      keyType: 'ec',
      algorithm: 'sha256',
      ...buildValidity(false),
      extensions: [{ name: 'basicConstraints', cA: true, critical: true }, { name: 'keyUsage', keyCertSign: true, cRLSign: true, critical: true }]
    })
    return new TestAuthority({ certificate: made.cert, key: made.private })
  }

  /**
   * @param request for whom
   * @returns a new key and its certificate, for servers and clients
   */
  async createKey (request: CertificateRequest): Promise<CertifiedKey> {
    const addresses = (request.addresses ?? []).map((ip) => ({ type: 7 as const, ip }))
    const made = await generate([{ name: 'commonName', value: request.name }], {
      keyType: 'ec',
      algorithm: 'sha256',
      ...buildValidity(request.hasEnded ?? false),
      ca: { key: this.own.key, cert: this.own.certificate },
      extensions: [
        { name: 'basicConstraints', cA: false },
        { name: 'keyUsage', digitalSignature: true },
        { name: 'extKeyUsage', serverAuth: true, clientAuth: true },
        { name: 'subjectAltName', altNames: [{ type: 2 as const, value: request.name }, ...addresses] }
      ]
    })
    return { certificate: made.cert, key: made.private }
  }
}

function buildValidity (hasEnded: boolean): { notBeforeDate: Date, notAfterDate: Date } {
  const now = new SystemClock().getWallTime()
  const start = now - (hasEnded ? VALID_DAYS : EARLY_DAYS) * DAY_MS
  const end = now + (hasEnded ? -EARLY_DAYS : VALID_DAYS) * DAY_MS
  return { notBeforeDate: new Date(start), notAfterDate: new Date(end) }
}

/** The files of one `tls` section, in a directory of their own. */
export class CertificateFiles implements IClosable {
  readonly certificate: string
  readonly key: string
  readonly ca: string

  private constructor (private readonly directory: string) {
    this.certificate = join(directory, 'certificate.pem')
    this.key = join(directory, 'key.pem')
    this.ca = join(directory, 'ca.pem')
  }

  /**
   * @param owner whose certificate and key
   * @param authority whose certificate is the CA's
   * @returns the files, removed by `close`
   */
  static async write (owner: CertifiedKey, authority: TestAuthority): Promise<CertificateFiles> {
    const files = new CertificateFiles(await mkdtemp(join(tmpdir(), 'umberspar-tls-')))
    await files.update(owner, authority)
    return files
  }

  /** Writes other certificates into the same files. */
  async update (owner: CertifiedKey, authority: TestAuthority): Promise<void> {
    await writeFile(this.ca, authority.certificate)
    await writeFile(this.certificate, owner.certificate)
    await writeFile(this.key, owner.key, { mode: 0o600 })
  }

  async close (): Promise<void> {
    await rm(this.directory, { recursive: true, force: true })
  }
}
