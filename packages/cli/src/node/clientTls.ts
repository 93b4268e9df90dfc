/** TLS for connections to the daemons, with the PEM files that options or environment variables name. */
import type { Arguments } from 'yargs'
import type { IClock } from '@umberspar/base/common/clock'
import type { StepError } from '@umberspar/base/common/errors'
import { Ok, type Result } from '@umberspar/base/common/result'
import { loadTlsMaterial, toContextOptions } from '@umberspar/adapters/node/tls/tlsMaterial'
import { UsageError } from '../common/operatorError.js'

/** Paths of PEM files; undefined if not given. */
export interface TlsOptions {
  readonly ca: string | undefined
  readonly cert: string | undefined
  readonly key: string | undefined
}

/** TLS options for connections. */
export type ClientTls = ReturnType<typeof toContextOptions>

/** The environment variables to use if an option is not given. */
const ENVIRONMENT_VARIABLES: Readonly<Record<keyof TlsOptions, string>> = { ca: 'UMBERSPAR_CA', cert: 'UMBERSPAR_CERT', key: 'UMBERSPAR_KEY' }

/**
 * @param args the parsed arguments
 * @param environment the environment variables
 * @returns the paths; options take precedence over environment variables
 * @throws UsageError if --cert, --key and --ca are not given together as needed
 */
export function readTlsOptions (args: Arguments, environment: Readonly<Record<string, string | undefined>>): TlsOptions {
  const findPath = (name: keyof TlsOptions): string | undefined => {
    const path = typeof args[name] === 'string' ? args[name] : environment[ENVIRONMENT_VARIABLES[name]]
    return path === '' ? undefined : path
  }
  const options = { ca: findPath('ca'), cert: findPath('cert'), key: findPath('key') }
  if ((options.cert === undefined) !== (options.key === undefined)) throw new UsageError('--cert and --key: expected both or neither of them')
  if (options.cert !== undefined && options.ca === undefined) throw new UsageError('--cert: expected --ca as well')
  return options
}

/**
 * @param options paths of the PEM files
 * @param clock to check whether the certificate has expired
 * @returns TLS options, or undefined for plain text if no CA is given; an error names the file that can't be used
 */
export async function loadClientTls ({ ca, cert, key }: TlsOptions, clock: IClock): Promise<Result<ClientTls | undefined, StepError>> {
  if (ca === undefined) return Ok(undefined)
  const loaded = await loadTlsMaterial('tls', { ca, certificate: cert, key }, clock.getWallTime())
  return loaded.map(toContextOptions)
}
