/** The `umberspard` program: loads its settings, runs one daemon and stops it on a signal. */
import { runDetached } from '@umberspar/base/common/detached'
import { ErrorCode } from '@umberspar/base/common/errors'
import { LogLevel, logError } from '@umberspar/base/common/logger'
import { createRoarrLogger } from '@umberspar/base/node/roarrLogger'
import { loadDaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { createDaemon } from './daemon.js'

/** Exit codes of the program. */
export enum DaemonExitCode {
  /** Stopped on request, no requests aborted. */
  Stopped = 0,
  /** A listener couldn't be opened. */
  CouldNotStart = 1,
  /** Arguments, settings or certificates are invalid. */
  BadSettings = 2,
  /** Stopped with requests still open, because of a second signal or a time limit. */
  CutOff = 3
}

/**
 * Runs the daemon until it is stopped by a signal.
 * @param argv the process's command-line arguments
 */
export async function main (argv: string[]): Promise<void> {
  const args = await yargs(hideBin(argv))
    .scriptName('umberspard')
    .usage('$0 --settings FILE\n\nRuns one entry VM of umberspar. SIGTERM stops it gracefully; a second one stops it at once and aborts open requests.')
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
