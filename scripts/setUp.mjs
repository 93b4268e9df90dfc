/**
 * Makes a fresh checkout runnable: installs the locked dependencies when they
 * are missing or older than the lock file, then builds what changed.
 */
import { spawnSync } from 'node:child_process'
import { existsSync, statSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('..', import.meta.url))

function runCommand (command, args) {
  const result = spawnSync(command, args, { cwd: root, stdio: 'inherit', shell: process.platform === 'win32' })
  if (result.status !== 0) process.exit(result.status ?? 1)
}

function isInstallStale () {
  const marker = `${root}/node_modules/.package-lock.json`
  if (!existsSync(marker)) return true
  return statSync(marker).mtimeMs < statSync(`${root}/package-lock.json`).mtimeMs
}

if (isInstallStale()) runCommand('npm', ['ci', '--no-fund', '--no-audit'])
runCommand(process.execPath, ['node_modules/typescript/bin/tsc', '--build'])
