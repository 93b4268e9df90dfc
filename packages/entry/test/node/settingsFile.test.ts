import assert from 'node:assert/strict'
import { mkdtempSync, renameSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { type ReadSettings, SettingsFile } from '../../src/node/settingsFile.js'

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

  // A platform writes new seeds into the file and sends no signal. The process went
  // on with machines that were long gone, and after an outage found no peer to ask.
  it('is read anew when it changes without a signal, in place or by renaming', async () => {
    const told: ReadSettings[] = []
    let onNext: () => void = () => {}
    assert.ok(file.load().ok)
    file.watch((settings) => {
      told.push(settings)
      onNext()
    })
    const waitForNext = async (): Promise<void> => { await new Promise<void>((resolve) => { onNext = resolve }) }
    writeFileSync(path, JSON.stringify({ ...SETTINGS, seeds: [ADDRESS, '127.0.0.2:1000'] }))
    await waitForNext()
    assert.equal(told[0]?.ok === true && told[0].val.seeds.length, 2)
    writeFileSync(`${path}.new`, JSON.stringify({ ...SETTINGS, seeds: [] }))
    renameSync(`${path}.new`, path)
    await waitForNext()
    assert.equal(told[1]?.ok === true && told[1].val.seeds.length, 0)
  })

  it('tells the field that cannot be read', () => {
    writeFileSync(path, JSON.stringify({ ...SETTINGS, grace: 'soon' }))
    const settings = file.load()
    assert.match(settings.ok ? '' : settings.val.message, /grace/)
  })

  it('tells the path of a file that is missing', () => {
    rmSync(path)
    const settings = file.load()
    assert.equal(settings.ok ? '' : settings.val.peer, path)
  })
})
