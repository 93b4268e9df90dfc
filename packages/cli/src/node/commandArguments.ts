/** Typed access to parsed arguments. The functions throw a UsageError for an invalid argument. */
import { isIPv4, isIPv6 } from 'node:net'
import type { Argv, Arguments } from 'yargs'
import { UsageError } from '../common/operatorError.js'
import { readTlsOptions, type TlsOptions } from './clientTls.js'
import { toText, toTexts } from '../common/jsonValue.js'

/** Options that every command takes. */
export interface GlobalOptions {
  readonly daemons: readonly string[]
  readonly isJson: boolean
  /** The time limit of the whole command; undefined for the command's default. */
  readonly timeoutSeconds: number | undefined
  readonly tls: TlsOptions
}

/** The environment variable that lists daemons, separated by commas. */
export const DAEMONS_VARIABLE = 'UMBERSPAR_DAEMONS'

const ADDRESS_PATTERN = /^(\[[0-9a-fA-F:]+\]|[A-Za-z0-9.-]+):(\d{1,5})$/
const MAX_PORT = 65_535
const MAX_TIMEOUT_SECONDS = 86_400

/** Declares the options that every command takes. */
export function addGlobalOptions (parser: Argv): Argv {
  return parser
    .option('daemon', { type: 'string', array: true, nargs: 1, global: true, describe: `host:port of a daemon's operators' listener; may be repeated, daemons are tried in turn [env ${DAEMONS_VARIABLE}, separated by commas]` })
    .option('json', { type: 'boolean', global: true, describe: 'Print results and errors as one JSON document' })
    .option('ca', { type: 'string', nargs: 1, global: true, describe: 'PEM file of the CA that signed the daemons\' certificates; enables TLS [env UMBERSPAR_CA]' })
    .option('cert', { type: 'string', nargs: 1, global: true, describe: 'PEM file of your certificate [env UMBERSPAR_CERT]' })
    .option('key', { type: 'string', nargs: 1, global: true, describe: 'PEM file of the key of your certificate [env UMBERSPAR_KEY]' })
    .option('timeout', { type: 'number', nargs: 1, global: true, describe: 'Time limit of the whole command in seconds (default 10; 600 with --wait)' })
}

/** @returns the string value of an option or positional argument, if given */
export function getOptionalText (args: Arguments, name: string): string | undefined {
  const value = args[name]
  if (Array.isArray(value)) throw new UsageError(`--${name} may be given only once`)
  return toText(value)
}

/** @returns the string value of an option or positional argument that is required and must not be empty */
export function getText (args: Arguments, name: string): string {
  const value = getOptionalText(args, name)
  if (value === undefined || value === '') throw new UsageError(`${name}: expected a value`)
  return value
}

/** @returns all values of an option that may be repeated */
export function listTexts (args: Arguments, name: string): readonly string[] {
  return toTexts(args[name])
}

/** @returns a configuration version (an integer of at least 0), if given */
export function getOptionalVersion (args: Arguments, name: string): number | undefined {
  const value = args[name]
  if (value === undefined) return undefined
  if (typeof value !== 'number' || !Number.isSafeInteger(value) || value < 0) {
    throw new UsageError(`--${name}: expected a version number`)
  }
  return value
}

/** @returns whether a boolean option is set */
export function isSet (args: Arguments, name: string): boolean {
  return args[name] === true
}

/** @returns the given `host:port` after checking its syntax */
export function parseAddress (text: string): string {
  const match = ADDRESS_PATTERN.exec(text)
  if (match === null || Number(match[2]) > MAX_PORT) throw new UsageError(`'${text}' is not an address: expected host:port`)
  return text
}

/** @returns the IP address, if given, after checking its syntax */
export function getOptionalIpAddress (args: Arguments, name: string): string | undefined {
  const text = getOptionalText(args, name)
  if (text === undefined || isIPv4(text) || isIPv6(text)) return text
  throw new UsageError(`--${name}: expected an IP address, got ${text}`)
}

function readTimeoutSeconds (args: Arguments): number | undefined {
  const value = args.timeout
  if (value === undefined) return undefined
  if (typeof value !== 'number' || !(value > 0 && value <= MAX_TIMEOUT_SECONDS)) {
    throw new UsageError(`--timeout: expected a number of seconds greater than 0 and at most ${MAX_TIMEOUT_SECONDS}`)
  }
  return value
}

/**
 * @param args the parsed arguments
 * @param environment the environment variables
 * @returns the global options; options take precedence over environment variables
 */
export function readGlobalOptions (args: Arguments, environment: Readonly<Record<string, string | undefined>>): GlobalOptions {
  const fromOptions = listTexts(args, 'daemon')
  const fromEnvironment = (environment[DAEMONS_VARIABLE] ?? '').split(',').map((text) => text.trim()).filter((text) => text !== '')
  const daemons = fromOptions.length > 0 ? fromOptions : fromEnvironment
  return { daemons: daemons.map(parseAddress), isJson: isSet(args, 'json'), timeoutSeconds: readTimeoutSeconds(args), tls: readTlsOptions(args, environment) }
}
