import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { afterEach, test } from 'node:test'
import { Agent, request } from 'undici'
import { CloseStack } from '@umberspar/base/common/closing'
import { createDeadline } from '@umberspar/base/common/deadline'
import { ErrorCode } from '@umberspar/base/common/errors'
import { LogLevel, NULL_LOGGER } from '@umberspar/base/common/logger'
import { SeededRandom } from '@umberspar/base/common/random'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { ExitCode } from '@umberspar/cli/common/exitCode'
import { runCli } from '@umberspar/cli/node/runCli'
import { createDaemon, type Daemon } from '@umberspar/daemon/node/daemon'
import { HttpListener } from '@umberspar/daemon/node/httpListener'
import { DEFAULT_LISTENER_LIMITS } from '@umberspar/adapters/node/settings/listenerSettings'
import type { DaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import { TlsCertificateProvider } from '@umberspar/adapters/node/tls/tlsCertificateProvider'
import { ProbeScope, UndiciTransport } from '@umberspar/adapters/node/upstream/upstreamTransport'
import { DeploymentName } from '../../../src/common/load/mixes.js'
import { addPlatform, loadDeploymentFiles } from '../../../src/node/deployment/deploymentFiles.js'
import { waitForCondition } from '../../../src/node/load/polling.js'
import { buildEntryVm } from '../../../src/node/standIns/entrySettings.js'
import { PlatformStandIns } from '../../../src/node/standIns/platformStandIns.js'
import { UpstreamWorkerStandIn } from '../../../src/node/standIns/upstreamWorkerStandIn.js'
import { CertificateFiles, TestAuthority } from '../../../src/node/tls/testCertificates.js'
import { TlsFront } from '../../../src/node/tls/tlsFront.js'

const WAIT_MS = 20_000
const POLL_MS = 20
const HOSTS = ['127.0.0.1', '127.20.0.1', '127.20.0.2']
const clock = new SystemClock()
let closing = new CloseStack()

afterEach(async () => {
  await closing.close()
  closing = new CloseStack()
})

interface SecuredEntries {
  readonly authority: TestAuthority
  readonly files: CertificateFiles
  readonly settings: readonly DaemonSettings[]
  readonly daemons: readonly Daemon[]
}

function addTls (settings: DaemonSettings, { certificate, key, ca }: CertificateFiles): DaemonSettings {
  return {
    ...settings,
    callers: { ...settings.callers, tls: { certificate, key } },
    peers: { ...settings.peers, tls: { certificate, key, ca } },
    operators: { ...settings.operators, tls: { certificate, key, ca } },
    store: { ...settings.store, tls: { certificate, key, ca } }
  }
}

/** Two daemons with TLS towards callers, peers, operators and the store. */
async function startEntries (): Promise<SecuredEntries> {
  const authority = await TestAuthority.create('deployment')
  const identity = await authority.createKey({ name: 'umberspard', addresses: HOSTS })
  const files = closing.add(await CertificateFiles.write(identity, authority))
  const { configurationInput, settings } = await loadDeploymentFiles(DeploymentName.Guild, 2, LogLevel.Error)
  const platform = closing.add(await PlatformStandIns.start({ configurationInput, keyPrefix: settings[0]!.store.keyPrefix, entryVms: settings.map(buildEntryVm) }))
  const front = closing.add(new TlsFront({ target: platform.addresses.store, identity, clientCa: authority.certificate }))
  const store = await front.start()
  const secured = settings.map((each) => addTls(addPlatform(each, { ...platform.addresses, store }), files))
  const daemons = secured.map((each, index) => closing.add(createDaemon(each, { logger: NULL_LOGGER, random: new SeededRandom(index) })))
  for (const daemon of daemons) assert.ok((await daemon.start()).ok)
  return { authority, files, settings: secured, daemons }
}

async function fetchStatus (url: string, connect: object): Promise<number | string> {
  const agent = new Agent({ connect })
  try {
    const answer = await request(url, { dispatcher: agent })
    await answer.body.dump()
    return answer.statusCode
  } catch (thrown) {
    return (thrown as NodeJS.ErrnoException).code ?? String(thrown)
  } finally {
    await agent.destroy()
  }
}

function runStatus (words: readonly string[]): Promise<ExitCode> {
  const terminal = { print: () => {}, printError: () => {} }
  return runCli(['status', ...words], { terminal, environment: {}, clock, createChangeId: () => 'change', pollIntervalMs: POLL_MS })
}

function countLive (address: string, connect: object): Promise<number> {
  const agent = new Agent({ connect })
  return request(`https://${address}/v1/fleet`, { dispatcher: agent })
    .then(async (answer) => (await answer.body.json() as { nodes: Array<{ state: string }> }).nodes.filter(({ state }) => state === 'live').length)
    .finally(() => agent.destroy())
}

// The deployment's certificates are renewed under a new CA while callers come.
// Nothing is restarted: connections made afterwards see the new certificate, and
// an operator's old client certificate opens nothing any more.
test('daemons serve over TLS on every side, and take renewed certificates without a restart', { timeout: 60_000 }, async () => {
  const { authority, files, settings, daemons } = await startEntries()
  const first = settings[0]!
  const { certificate, key } = await authority.createKey({ name: 'operator' })
  const operator = { ca: authority.certificate, cert: certificate, key }
  const lookup = `https://${first.callers.address}/v1/lookup?service=closeout-desk`
  const fleet = `https://${first.operators.address}/v1/fleet`
  const isWhole = (): Promise<boolean> => countLive(first.operators.address, operator).then((count) => count === 2)
  assert.ok(await waitForCondition(clock, createDeadline(clock.now(), WAIT_MS), POLL_MS, isWhole), 'the daemons hear each other')
  assert.ok(daemons.every((daemon) => daemon.isReady()))
  assert.equal(await fetchStatus(lookup, { ca: authority.certificate }), 200)
  assert.equal(await fetchStatus(`https://${first.callers.address}/v1/services/closeout-desk/items/1?size=10`, { ca: authority.certificate }), 200)
  assert.notEqual(await fetchStatus(lookup.replace('https', 'http'), {}), 200)
  assert.equal(await fetchStatus(`https://${first.callers.address}/v1/fleet`, { ca: authority.certificate }), 404)
  assert.equal(await fetchStatus(fleet, operator), 200)
  assert.notEqual(await fetchStatus(fleet, { ca: authority.certificate }), 200)
  const renewed = await TestAuthority.create('renewed')
  await files.update(await renewed.createKey({ name: 'umberspard', addresses: HOSTS }), renewed)
  await daemons[0]!.renewCertificates()
  assert.equal(await fetchStatus(lookup, { ca: renewed.certificate }), 200)
  assert.notEqual(await fetchStatus(lookup, { ca: authority.certificate }), 200)
  assert.notEqual(await fetchStatus(fleet, { ...operator, ca: renewed.certificate }), 200)
  const newOperator = await renewed.createKey({ name: 'operator' })
  assert.equal(await fetchStatus(fleet, { ca: renewed.certificate, cert: newOperator.certificate, key: newOperator.key }), 200)
  const own = closing.add(await CertificateFiles.write(newOperator, renewed))
  const daemon = ['--daemon', first.operators.address]
  assert.equal(await runStatus([...daemon, '--ca', own.ca, '--cert', own.certificate, '--key', own.key]), ExitCode.Ok)
  assert.notEqual(await runStatus([...daemon, '--ca', own.ca]), ExitCode.Ok)
  assert.notEqual(await runStatus(daemon), ExitCode.Ok)
  assert.equal(await runStatus([...daemon, '--ca', own.ca, '--cert', own.certificate]), ExitCode.Usage)
})

test('a daemon whose certificate cannot be used does not start and names the field', async () => {
  const { settings: [settings] } = await loadDeploymentFiles(DeploymentName.Guild, 1, LogLevel.Error)
  const broken = { ...settings!, peers: { ...settings!.peers, tls: { certificate: '/nonexistent/c.pem', key: '/nonexistent/k.pem', ca: '/nonexistent/ca.pem' } } }
  const daemon = closing.add(createDaemon(broken, { logger: NULL_LOGGER }))
  const started = await daemon.start()
  assert.ok(!started.ok)
  assert.deepEqual([started.val.code, started.val.step, started.val.peer], [ErrorCode.Invalid, 'load-tls', '/nonexistent/c.pem'])
  assert.match(started.val.message, /^peers\.tls\.certificate: /)
})

test('workers are reached over TLS only if their certificate is of the CA, and see the client\'s', async () => {
  const authority = await TestAuthority.create('deployment')
  const stranger = await TestAuthority.create('stranger')
  const worker = closing.add(new UpstreamWorkerStandIn({ workerId: 'w1', slots: 4, connections: 8 }))
  const target = await worker.start()
  const files = closing.add(await CertificateFiles.write(await authority.createKey({ name: 'entry' }), authority))
  const loaded = await TlsCertificateProvider.load({ section: 'upstreams.tls', files, clock, logger: NULL_LOGGER })
  assert.ok(loaded.ok)
  const transport = closing.add(new UndiciTransport({ clock, tls: closing.add(loaded.val) }))
  const probe = async (identity: Awaited<ReturnType<TestAuthority['createKey']>>, clientCa: string): Promise<boolean> => {
    const front = closing.add(new TlsFront({ target, identity, clientCa }))
    const address = await front.start()
    transport.setWorkers([{ address, connections: 2 }])
    return (await transport.probe(address, createDeadline(clock.now(), WAIT_MS), ProbeScope.HealthAndLoad)).ok
  }
  const own = await authority.createKey({ name: 'worker', addresses: ['127.0.0.1'] })
  assert.equal(await probe(own, authority.certificate), true)
  assert.equal(await probe(own, stranger.certificate), false)
  assert.equal(await probe(await stranger.createKey({ name: 'worker', addresses: ['127.0.0.1'] }), authority.certificate), false)
  assert.equal(await probe(await authority.createKey({ name: 'worker', addresses: ['10.9.9.9'] }), authority.certificate), false)
})

// Somebody opens connections to the TLS listener and never begins a handshake, or
// speaks plain HTTP there; each would keep a connection of the limited number.
test('a connection that begins no handshake, or speaks plain text, is ended', async () => {
  const authority = await TestAuthority.create('ca')
  const files = closing.add(await CertificateFiles.write(await authority.createKey({ name: 'listener' }), authority))
  const loaded = await TlsCertificateProvider.load({ section: 'callers.tls', files: { certificate: files.certificate, key: files.key }, clock, logger: NULL_LOGGER })
  assert.ok(loaded.ok)
  const limits = { ...DEFAULT_LISTENER_LIMITS, headersWithinMs: 100 }
  const listener = closing.add(new HttpListener('callers', (_request, response) => { response.end() }, { limits, tls: closing.add(loaded.val) }))
  const address = await listener.listen('127.0.0.1:0')
  assert.ok(address.ok)
  const [host = '', port = ''] = address.val.split(':')
  const waitForEnd = (text: string): Promise<void> => new Promise((resolve) => {
    const socket = connect(Number(port), host, () => { socket.write(text) })
    socket.on('error', () => {})
    socket.resume()
    socket.once('close', () => resolve())
  })
  await Promise.all([waitForEnd(''), waitForEnd('GET / HTTP/1.1\r\nHost: a\r\n\r\n')])
})
