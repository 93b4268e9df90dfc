/** The `umberspard` program: reads its settings, runs one daemon, stops it on a signal. */
import { runDetached } from '@umberspar/base/common/detached'
import { ErrorCode } from '@umberspar/base/common/errors'
import { LogLevel, logError } from '@umberspar/base/common/logger'
import { createRoarrLogger } from '@umberspar/base/node/roarrLogger'
import { loadDaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { createDaemon } from './daemon.js'

/** How the program ends. */
export enum DaemonExitCode {
  /** Stopped on request, nothing cut off. */
  Stopped = 0,
  /** A listener could not be opened. */
  CouldNotStart = 1,
  /** Arguments, settings or the certificates they name are wrong. */
  BadSettings = 2,
  /** Stopped by a second signal, or by the longest wait, with requests still open. */
  CutOff = 3
}

/**
 * Runs the daemon until it is told to stop.
 * @param argv the process's arguments
 */
export async function main (argv: string[]): Promise<void> {
  const args = await yargs(hideBin(argv))
    .scriptName('umberspard')
    .usage('$0 --settings FILE\n\nRuns one entry VM of umberspar. SIGTERM stops it without cutting off requests; a second one stops it at once.')
    .option('settings', { type: 'string', demandOption: true, describe: 'JSON file with this daemon\'s settings' })
    .example('$0 --settings config/teratai/entry-1.json', 'run the first entry VM of the example deployment')
    .strict()
    .exitProcess(true)
    .parse()
  const settings = await loadDaemonSettings(args.settings)
  if (!settings.ok) {
    logError(createRoarrLogger(LogLevel.Info), LogLevel.Error, settings.val)
    process.exitCode = DaemonExitCode.BadSettings
    return
  }
  const logger = createRoarrLogger(settings.val.logLevel)
  const daemon = createDaemon(settings.val, { logger })
  const started = await daemon.start()
  if (!started.ok) {
    logError(logger, LogLevel.Error, started.val)
    process.exitCode = started.val.code === ErrorCode.Invalid ? DaemonExitCode.BadSettings : DaemonExitCode.CouldNotStart
    return
  }
  let isStopping = false
  const stop = (): void => {
    if (isStopping) {
      daemon.stopWaiting()
      return
    }
    isStopping = true
    runDetached(() => daemon.stop().then(({ cutRequests }) => {
      process.exit(cutRequests === 0 ? DaemonExitCode.Stopped : DaemonExitCode.CutOff)
    }), logger, 'stop')
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
  process.on('SIGHUP', () => { runDetached(() => daemon.renewCertificates(), logger, 'renew-tls') })
}
