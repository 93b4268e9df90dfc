import assert from 'node:assert/strict'
import { mkdirSync, mkdtempSync, rmSync, utimesSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { isInstalled } from '../installMark.mjs'

const REQUIRED = { 'node_modules/left': { version: '1.0.0', integrity: 'sha512-a' } }
const OPTIONAL = { 'node_modules/foreign': { version: '2.0.0', integrity: 'sha512-b', optional: true } }
const WORKSPACE = { 'packages/base': { version: '0.1.0' }, 'node_modules/@x/base': { resolved: 'packages/base', link: true } }

let root = ''

function writePackages (path, packages) {
  writeFileSync(join(root, path), JSON.stringify({ packages }))
}

beforeEach(() => {
  root = mkdtempSync(join(tmpdir(), 'install-mark-'))
  mkdirSync(join(root, 'node_modules'))
  writePackages('package-lock.json', { '': { name: 'x' }, ...REQUIRED, ...OPTIONAL, ...WORKSPACE })
})

afterEach(() => rmSync(root, { recursive: true }))

describe('isInstalled', () => {
  it('accepts a matching install even if the lock file is newer', () => {
    // Guards against an install after a merge that makes the lock file newer without
    // changing it: `npm test` then emptied node_modules, and another command that was
    // running from it failed with missing modules.
    writePackages('node_modules/.package-lock.json', { ...REQUIRED, ...WORKSPACE })
    const future = new Date('2100-01-01')
    utimesSync(join(root, 'package-lock.json'), future, future)
    assert.ok(isInstalled(root))
  })

  it('rejects an install that is missing, incomplete or has other versions', () => {
    assert.ok(!isInstalled(root))
    writePackages('node_modules/.package-lock.json', { ...WORKSPACE })
    assert.ok(!isInstalled(root))
    writePackages('node_modules/.package-lock.json', { ...REQUIRED })
    assert.ok(!isInstalled(root))
    writePackages('node_modules/.package-lock.json', { ...WORKSPACE, 'node_modules/left': { version: '1.0.1', integrity: 'sha512-c' } })
    assert.ok(!isInstalled(root))
  })

  it('rejects an optional package of another version', () => {
    const otherVersion = { 'node_modules/foreign': { version: '1.9.0', integrity: 'sha512-d', optional: true } }
    writePackages('node_modules/.package-lock.json', { ...REQUIRED, ...WORKSPACE, ...otherVersion })
    assert.ok(!isInstalled(root))
  })
})
