/**
 * Prepares a checkout for running: installs the dependencies if they are missing or
 * don't match the lock file, then builds what has changed.
 */
import { spawnSync } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { isInstalled } from './installMark.mjs'

const root = fileURLToPath(new URL('..', import.meta.url))

function runCommand (command, args) {
  const result = spawnSync(command, args, { cwd: root, stdio: 'inherit', shell: process.platform === 'win32' })
  if (result.status !== 0) process.exit(result.status ?? 1)
}

if (!isInstalled(root)) runCommand('npm', ['ci', '--no-fund', '--no-audit'])
runCommand(process.execPath, ['node_modules/typescript/bin/tsc', '--build'])
