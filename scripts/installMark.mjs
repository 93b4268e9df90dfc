/**
 * Checks by content whether node_modules matches the lock file. Modification times
 * are no substitute: a checkout or a merge makes the lock file newer than an install
 * that still matches it, and an unnecessary install empties node_modules while other
 * processes may be running from it.
 */
import { existsSync, readFileSync } from 'node:fs'
import { join } from 'node:path'

const LOCK_FILE = 'package-lock.json'
/** npm writes this file at the end of an install, so it is missing after an interrupted install. */
const INSTALLED_LOCK_FILE = join('node_modules', '.package-lock.json')
const INSTALLED_PATH = /^node_modules\//

function readPackages (path) {
  return JSON.parse(readFileSync(path, 'utf8')).packages
}

function isSame (locked, installed) {
  // Optional packages for other platforms are not installed.
  if (installed === undefined) return locked.optional === true
  return locked.version === installed.version && locked.integrity === installed.integrity && locked.resolved === installed.resolved
}

/**
 * @param root the folder of the workspace
 * @returns whether every package in the lock file is installed in the locked version
 */
export function isInstalled (root) {
  if (!existsSync(join(root, INSTALLED_LOCK_FILE))) return false
  const installed = readPackages(join(root, INSTALLED_LOCK_FILE))
  return Object.entries(readPackages(join(root, LOCK_FILE)))
    .every(([path, locked]) => !INSTALLED_PATH.test(path) || isSame(locked, installed[path]))
}
