import assert from 'node:assert/strict'
import { writeFile } from 'node:fs/promises'
import { afterEach, test } from 'node:test'
import { CloseStack } from '@umberspar/base/common/closing'
import { ErrorCode } from '@umberspar/base/common/errors'
import type { ILogger, LogContext, LogLevel } from '@umberspar/base/common/logger'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { TlsCertificateProvider } from '@umberspar/adapters/node/tls/tlsCertificateProvider'
import { CertificateFiles, TestAuthority } from '../../../src/node/tls/testCertificates.js'

const clock = new SystemClock()
let closing = new CloseStack()

afterEach(async () => {
  await closing.close()
  closing = new CloseStack()
})

/** Keeps every line as text, to look for what must not be in it. */
class TextLogger implements ILogger {
  readonly lines: string[] = []

  log (level: LogLevel, context: LogContext, message: string): void {
    this.lines.push(JSON.stringify({ level, ...context, message }))
  }

  createChild (): ILogger {
    return this
  }
}

async function writeFiles (): Promise<{ authority: TestAuthority, files: CertificateFiles }> {
  const authority = await TestAuthority.create('ca')
  const files = closing.add(await CertificateFiles.write(await authority.createKey({ name: 'one' }), authority))
  return { authority, files }
}

test('each file that cannot be used is refused with its field and path, and no content', async () => {
  const { authority, files } = await writeFiles()
  const other = await authority.createKey({ name: 'other' })
  const ended = await authority.createKey({ name: 'ended', hasEnded: true })
  const logger = new TextLogger()
  const expectRefusal = async (field: string, path: string, reason: RegExp): Promise<void> => {
    const loaded = await TlsCertificateProvider.load({ section: 'peers.tls', files, clock, logger })
    assert.ok(!loaded.ok)
    assert.equal(loaded.val.code, ErrorCode.Invalid)
    assert.equal(loaded.val.peer, path)
    assert.match(loaded.val.message, new RegExp(`^peers\\.tls\\.${field}: `))
    assert.match(loaded.val.message, reason)
    assert.doesNotMatch(loaded.val.message, /BEGIN|PRIVATE/)
  }
  const good = await authority.createKey({ name: 'one' })
  await files.update({ certificate: good.certificate, key: other.key }, authority)
  await expectRefusal('key', files.key, /does not belong/)
  await files.update({ certificate: good.certificate, key: 'secret nonsense' }, authority)
  await expectRefusal('key', files.key, /no private key/)
  await files.update({ certificate: good.key, key: good.key }, authority)
  await expectRefusal('certificate', files.certificate, /no certificate/)
  await files.update(ended, authority)
  await expectRefusal('certificate', files.certificate, /ended/)
  await files.update(good, authority)
  await writeFile(files.ca, good.certificate.slice(0, 200))
  await expectRefusal('ca', files.ca, /no certificate/)
  await files.close()
  await expectRefusal('certificate', files.certificate, /ENOENT/)
})

// An operator renews a certificate; the key file is copied a moment later. A
// daemon that took the half-written pair would refuse every new connection. It
// must stay with the old pair, say so once per read, and take the whole pair.
test('a half-written renewal keeps the old certificates; a whole one is taken; keys are never logged', async () => {
  const { authority, files } = await writeFiles()
  const logger = new TextLogger()
  const loaded = await TlsCertificateProvider.load({ section: 'callers.tls', files, clock, logger })
  assert.ok(loaded.ok)
  const certificateProvider = closing.add(loaded.val)
  const changes: string[] = []
  certificateProvider.onDidChange((material) => changes.push(String(material.certificate)))
  assert.equal(await certificateProvider.renew(), false)
  const before = String(certificateProvider.current.certificate)
  const renewed = await authority.createKey({ name: 'renewed' })
  await writeFile(files.certificate, renewed.certificate)
  assert.equal(await certificateProvider.renew(), false)
  assert.equal(String(certificateProvider.current.certificate), before)
  assert.ok(logger.lines.some((line) => line.includes('callers.tls.key') && line.includes('"error"')))
  await writeFile(files.key, renewed.key)
  assert.deepEqual(await Promise.all([certificateProvider.renew(), certificateProvider.renew()]), [true, true])
  assert.deepEqual(changes.map((text) => text.trim()), [renewed.certificate.replaceAll('\r', '').trim()])
  assert.equal(String(certificateProvider.current.key), renewed.key)
  const secret = renewed.key.split('\n')[1] ?? ''
  assert.ok(secret.length > 20 && logger.lines.every((line) => !line.includes(secret) && !line.includes('PRIVATE')))
})
