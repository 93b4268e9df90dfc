import assert from 'node:assert/strict'
import { mkdirSync, mkdtempSync, rmSync, utimesSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { isInstalled } from '../installMark.mjs'

const LEFT = { 'node_modules/left': { version: '1.0.0', integrity: 'sha512-a' } }
const FOREIGN = { 'node_modules/foreign': { version: '2.0.0', integrity: 'sha512-b', optional: true } }
const WORKSPACE = { 'packages/base': { version: '0.1.0' }, 'node_modules/@x/base': { resolved: 'packages/base', link: true } }

let root = ''

function writePackages (path, packages) {
  writeFileSync(join(root, path), JSON.stringify({ packages }))
}

beforeEach(() => {
  root = mkdtempSync(join(tmpdir(), 'install-mark-'))
  mkdirSync(join(root, 'node_modules'))
  writePackages('package-lock.json', { '': { name: 'x' }, ...LEFT, ...FOREIGN, ...WORKSPACE })
})

afterEach(() => rmSync(root, { recursive: true }))

describe('the check of an install', () => {
  it('passes an install that fits, however new the lock file is', () => {
    // After a merge, `npm test` emptied node_modules while another command ran
    // from it, and that one failed with missing modules: the lock file had a
    // newer time, though the same content.
    writePackages('node_modules/.package-lock.json', { ...LEFT, ...WORKSPACE })
    const later = new Date('2100-01-01')
    utimesSync(join(root, 'package-lock.json'), later, later)
    assert.ok(isInstalled(root))
  })

  it('refuses one that is missing, incomplete or of other versions', () => {
    assert.ok(!isInstalled(root))
    writePackages('node_modules/.package-lock.json', { ...WORKSPACE })
    assert.ok(!isInstalled(root))
    writePackages('node_modules/.package-lock.json', { ...LEFT })
    assert.ok(!isInstalled(root))
    writePackages('node_modules/.package-lock.json', { ...WORKSPACE, 'node_modules/left': { version: '1.0.1', integrity: 'sha512-c' } })
    assert.ok(!isInstalled(root))
  })

  it('refuses an optional package of another version', () => {
    const other = { 'node_modules/foreign': { version: '1.9.0', integrity: 'sha512-d', optional: true } }
    writePackages('node_modules/.package-lock.json', { ...LEFT, ...WORKSPACE, ...other })
    assert.ok(!isInstalled(root))
  })
})
