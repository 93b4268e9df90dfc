import assert from 'node:assert/strict'
import { mkdtempSync, renameSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { type SettingsResult, SettingsFile } from '../../src/node/settingsFile.js'

const ADDRESS = '127.0.0.1:1000'
const SETTINGS = {
  node: 'vm-1',
  domain: 'north-1',
  regions: { 'north-1': 'north' },
  listen: { callers: ADDRESS, readiness: ADDRESS, lookups: ADDRESS, peers: ADDRESS, metrics: ADDRESS },
  store: { address: ADDRESS },
  seeds: [ADDRESS],
  grace: '6s',
  longestLookupCache: '5s',
  coldTolerance: { factor: 1.5, slack: 5 },
  repeatBudget: { ratio: 0.2, window: '10s', slack: 60 },
  memoryMb: 350
}

describe('a settings file', { timeout: 30_000 }, () => {
  let folder: string
  let path: string
  let file: SettingsFile

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'umberspar-settings-'))
    path = join(folder, 'node.json')
    writeFileSync(path, JSON.stringify(SETTINGS))
    file = new SettingsFile(path, new SystemClock())
  })

  afterEach(() => {
    file.close()
    rmSync(folder, { recursive: true })
  })

  // Guards against missing an update: a platform wrote new seeds into the file without sending a signal,
  // and after an outage of the store the process knew only seeds that no longer existed.
  it('is reloaded when it changes without a signal, in place or by renaming', async () => {
    const reported: SettingsResult[] = []
    let onNext: () => void = () => {}
    assert.ok(file.load().ok)
    file.watch((settings) => {
      reported.push(settings)
      onNext()
    })
    const waitForNext = async (): Promise<void> => { await new Promise<void>((resolve) => { onNext = resolve }) }
    writeFileSync(path, JSON.stringify({ ...SETTINGS, seeds: [ADDRESS, '127.0.0.2:1000'] }))
    await waitForNext()
    assert.equal(reported[0]?.ok === true && reported[0].val.seeds.length, 2)
    writeFileSync(`${path}.new`, JSON.stringify({ ...SETTINGS, seeds: [] }))
    renameSync(`${path}.new`, path)
    await waitForNext()
    assert.equal(reported[1]?.ok === true && reported[1].val.seeds.length, 0)
  })

  it('reports an invalid field', () => {
    writeFileSync(path, JSON.stringify({ ...SETTINGS, grace: 'soon' }))
    const settings = file.load()
    assert.match(settings.ok ? '' : settings.val.message, /grace/)
  })

  it('reports the path of a missing file', () => {
    rmSync(path)
    const settings = file.load()
    assert.equal(settings.ok ? '' : settings.val.peer, path)
  })
})
