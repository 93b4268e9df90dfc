/**
 * Tells whether node_modules holds what the lock file says, by content. Times
 * of files don't tell it: a checkout or a merge makes the lock file newer than
 * an install that still fits it, and a needless install empties node_modules
 * under whatever else runs from it.
 */
import { existsSync, readFileSync } from 'node:fs'
import { join } from 'node:path'

const LOCK_FILE = 'package-lock.json'
/** npm writes it at the end of an install, so it is missing after an install that was cut off. */
const INSTALL_MARK = join('node_modules', '.package-lock.json')
const INSTALLED_PLACE = /^node_modules\//

function readPackages (path) {
  return JSON.parse(readFileSync(path, 'utf8')).packages
}

function isSame (locked, installed) {
  // Optional packages of other platforms are rightly missing.
  if (installed === undefined) return locked.optional === true
  return locked.version === installed.version && locked.integrity === installed.integrity && locked.resolved === installed.resolved
}

/**
 * @param root the folder of the workspace
 * @returns whether every package that the lock file names was installed in that version
 */
export function isInstalled (root) {
  if (!existsSync(join(root, INSTALL_MARK))) return false
  const installed = readPackages(join(root, INSTALL_MARK))
  return Object.entries(readPackages(join(root, LOCK_FILE)))
    .every(([place, locked]) => !INSTALLED_PLACE.test(place) || isSame(locked, installed[place]))
}
