/** TLS towards the daemons: files named by options or the environment. */
import type { Arguments } from 'yargs'
import type { IClock } from '@umberspar/base/common/clock'
import type { StepError } from '@umberspar/base/common/errors'
import { Ok, type Result } from '@umberspar/base/common/result'
import { loadTlsMaterial, toContextOptions } from '@umberspar/adapters/node/tls/tlsMaterial'
import { UsageError } from '../common/operatorError.js'

/** Paths of PEM files, as given. */
export interface TlsOptions {
  readonly ca: string | undefined
  readonly cert: string | undefined
  readonly key: string | undefined
}

/** What connections use. */
export type ClientTls = ReturnType<typeof toContextOptions>

/** The environment variables that count where an option is left out. */
const ENVIRONMENT_VARIABLES: Readonly<Record<keyof TlsOptions, string>> = { ca: 'UMBERSPAR_CA', cert: 'UMBERSPAR_CERT', key: 'UMBERSPAR_KEY' }

/**
 * @param args the parsed arguments
 * @param environment the environment's variables
 * @returns the paths; options go before the environment
 */
export function readTlsOptions (args: Arguments, environment: Readonly<Record<string, string | undefined>>): TlsOptions {
  const findPath = (name: keyof TlsOptions): string | undefined => {
    const text = typeof args[name] === 'string' ? args[name] : environment[ENVIRONMENT_VARIABLES[name]]
    return text === '' ? undefined : text
  }
  const options = { ca: findPath('ca'), cert: findPath('cert'), key: findPath('key') }
  if ((options.cert === undefined) !== (options.key === undefined)) throw new UsageError('--cert and --key: expected both or neither')
  if (options.cert !== undefined && options.ca === undefined) throw new UsageError('--cert: expected --ca with it')
  return options
}

/**
 * @param options paths
 * @param clock for the end of the certificate
 * @returns what connections use; undefined for plain text; or which file can't be used
 */
export async function loadClientTls ({ ca, cert, key }: TlsOptions, clock: IClock): Promise<Result<ClientTls | undefined, StepError>> {
  if (ca === undefined) return Ok(undefined)
  const loaded = await loadTlsMaterial('tls', { ca, certificate: cert, key }, clock.getWallTime())
  return loaded.map(toContextOptions)
}
