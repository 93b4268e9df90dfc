import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { after, before, test } from 'node:test'
import { Client, credentials, type ServiceError } from '@grpc/grpc-js'
import fc from 'fast-check'
import { Agent } from 'undici'
import { createDeadline } from '@umberspar/base/common/deadline'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { PeerService } from '@umberspar/adapters/node/generated/peer/peer'
import { validateDaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import { applyPatch } from '@umberspar/steering/common/configuration/patchConfiguration'
import { validateConfiguration } from '@umberspar/steering/common/configuration/validateConfiguration'
import { DeploymentName } from '../../../src/common/load/mixes.js'
import { LocalDeployment } from '../../../src/node/deployment/localDeployment.js'
import { rawRequest } from './rawRequests.js'

const SEED = 4
const READY_WITHIN_MS = 20_000
/** How long a connection that is neither answered nor closed is waited for. */
const QUIET_SPAN_MS = 30
const SERVICE = 'closeout-desk'
const SAMPLE_REQUEST = `/v1/services/${SERVICE}/items/1?size=10`
const clock = new SystemClock()
const agent = new Agent()
const rejections: unknown[] = []
const onRejection = (thrown: unknown): void => { rejections.push(thrown) }
let deployment: LocalDeployment

before(async () => {
  process.on('unhandledRejection', onRejection)
  deployment = await LocalDeployment.start({ deployment: DeploymentName.Guild, seed: SEED, entries: 2 })
  assert.ok(await deployment.waitUntilReady(READY_WITHIN_MS))
})

after(async () => {
  await agent.destroy()
  await deployment.close()
  process.off('unhandledRejection', onRejection)
})

async function fetchText (address: string, path: string, body?: string): Promise<{ status: number, text: string }> {
  const answer = await agent.request({ origin: `http://${address}`, path, method: body === undefined ? 'GET' : 'POST', body: body ?? null })
  return { status: answer.statusCode, text: await answer.body.text() }
}

/** Every daemon answers look-ups and requests and has the configuration that it began with. */
async function assertServing (): Promise<void> {
  for (const { settings } of deployment.entries) {
    assert.equal((await fetchText(settings.callers.address, `/v1/lookup?service=${SERVICE}`)).status, 200)
    assert.equal((await fetchText(settings.callers.address, SAMPLE_REQUEST)).status, 200)
    const { text } = await fetchText(settings.operators.address, '/v1/config')
    assert.equal((JSON.parse(text) as { head: { version: number } }).head.version, 1)
  }
  assert.deepEqual(rejections, [])
}

/** Sends bytes in two parts and takes whatever comes, until the daemon closes or falls silent. */
function sendRaw (address: string, text: string): Promise<string> {
  const [host = '', port = ''] = address.split(':')
  const bytes = Buffer.from(text, 'latin1')
  const half = bytes.length >> 1
  return new Promise((resolve) => {
    let received = ''
    const socket = connect({ host, port: Number(port) })
    const finish = (): void => {
      socket.destroy()
      resolve(received)
    }
    let timer = clock.schedule(createDeadline(clock.now(), QUIET_SPAN_MS), finish)
    socket.on('data', (part) => {
      received += part.toString('latin1')
      timer.close()
      timer = clock.schedule(createDeadline(clock.now(), QUIET_SPAN_MS), finish)
    })
    socket.on('error', () => {})
    socket.once('close', finish)
    socket.once('connect', () => {
      socket.write(bytes.subarray(0, half))
      setImmediate(() => { socket.write(bytes.subarray(half)) })
    })
  })
}

// Anybody can reach the callers' listener. One sequence of bytes that ends the
// daemon would end it for every caller, on all entry VMs in turn.
test('after arbitrary bytes on every listener the daemons still serve', { timeout: 120_000 }, async () => {
  const { callers, operators, peers } = deployment.entries[0]!.settings
  const addresses = [callers.address, callers.address, callers.address, operators.address, peers.address]
  const batch = fc.array(fc.tuple(fc.constantFrom(...addresses), rawRequest), { minLength: 8, maxLength: 8 })
  await fc.assert(fc.asyncProperty(batch, async (requests) => {
    const answers = await Promise.all(requests.map(([address, text]) => sendRaw(address, text)))
    for (const [index, answer] of answers.entries()) {
      if (requests[index]?.[0] === peers.address || answer === '') continue
      assert.match(answer, /^HTTP\/1\.1 [1-5]\d\d /)
      assert.doesNotMatch(answer, /at .*\.js:\d+/)
    }
  }), { seed: SEED, numRuns: 150 })
  await assertServing()
})

const METHODS = Object.values(PeerService)

function callPeer (client: Client, index: number, messages: readonly Uint8Array[]): Promise<ServiceError | undefined> {
  const method = METHODS[index % METHODS.length]!
  const encode = (bytes: Uint8Array): Buffer => Buffer.from(bytes)
  const options = { deadline: clock.getWallTime() + READY_WITHIN_MS }
  return new Promise((resolve) => {
    const finish = (error: ServiceError | null): void => resolve(error ?? undefined)
    if (method.responseStream) {
      const stream = client.makeServerStreamRequest(method.path, encode, (bytes) => bytes, messages[0] ?? new Uint8Array(), options)
      stream.on('data', () => {})
      stream.on('end', () => finish(null))
      stream.on('error', (error) => finish(error as ServiceError))
      return
    }
    if (!method.requestStream) {
      client.makeUnaryRequest(method.path, encode, (bytes) => bytes, messages[0] ?? new Uint8Array(), options, finish)
      return
    }
    const stream = client.makeClientStreamRequest(method.path, encode, (bytes) => bytes, options, finish)
    stream.on('error', () => {})
    for (const message of messages) stream.write(message)
    stream.end()
  })
}

const version = fc.record({ name: fc.constantFrom('', 'configuration', 'plan/x', '__proto__'), version: fc.bigInt({ min: 0n, max: 2n ** 64n - 1n }), digest: fc.string(), changeId: fc.string() })
const worker = fc.record({
  workerId: fc.string(),
  utilization: fc.double(),
  inFlight: fc.integer({ min: 0 }),
  ageMs: fc.integer({ min: 0 }),
  isDraining: fc.boolean(),
  isHealthy: fc.boolean(),
  isStarting: fc.boolean(),
  isProbed: fc.boolean(),
  hasLoad: fc.boolean()
})
const demand = fc.array(fc.record({ service: fc.string(), clientRegion: fc.string(), concurrency: fc.double(), ageMs: fc.integer({ min: 0 }) }), { maxLength: 2 })
const anyState = fc.integer({ min: -1, max: 9 })
const anyUint64 = fc.bigInt({ min: 0n, max: 2n ** 64n - 1n })
const member = fc.record({
  nodeId: fc.string(), incarnation: anyUint64, beat: anyUint64, state: anyState, documents: fc.array(version, { maxLength: 2 }), demand, isSuspected: fc.boolean()
})
const digest = fc.record({
  nodeId: fc.oneof(fc.string(), fc.constant('stranger')),
  state: anyState,
  incarnation: anyUint64,
  beat: anyUint64,
  members: fc.array(member, { maxLength: 2 }),
  confirmedAgeMs: fc.integer({ min: 0 }),
  documents: fc.array(version, { maxLength: 3 }),
  workers: fc.array(worker, { maxLength: 3 }),
  region: fc.string(),
  failureDomain: fc.string(),
  demand
})
const chunk = fc.record({ document: fc.option(version, { nil: undefined }), index: fc.integer({ min: 0, max: 3 }), data: fc.uint8Array({ maxLength: 40 }).map((bytes) => Buffer.from(bytes)), isLast: fc.boolean(), originId: fc.string(), isRegional: fc.boolean() })
const noise = fc.uint8Array({ maxLength: 200 })
const message = fc.oneof(
  noise.map((bytes) => [0, bytes] as const),
  digest.map((value) => [METHODS.indexOf(PeerService.exchange), PeerService.exchange.requestSerialize(value)] as const),
  chunk.map((value) => [METHODS.indexOf(PeerService.push), PeerService.push.requestSerialize(value)] as const)
)

// A daemon of another version, or a faulty one, sends peers' messages that decode
// to nonsense: figures that are no numbers, chunks out of order, unknown states.
test('after arbitrary messages of peers the daemons still serve and keep their configuration', { timeout: 120_000 }, async () => {
  const client = new Client(deployment.entries[0]!.settings.peers.address, credentials.createInsecure())
  try {
    await fc.assert(fc.asyncProperty(fc.nat({ max: 4 }), fc.array(message, { minLength: 1, maxLength: 4 }), async (other, messages) => {
      const [[preferred]] = messages as [readonly [number, Uint8Array]]
      await callPeer(client, preferred === 0 ? other : preferred, messages.map(([, bytes]) => bytes))
    }), { seed: SEED, numRuns: 300 })
  } finally {
    client.close()
  }
  await assertServing()
})

test('settings, configurations and patches of any JSON are accepted or refused, never thrown on', () => {
  const base = deployment.configuration
  const keys = fc.constantFrom('services', 'regions', 'shiftCaps', 'places', 'workers', 'drains', 'callers', 'tls', 'store', '__proto__', 'constructor', '')
  const { json } = fc.letrec((tie) => ({
    json: fc.oneof({ depthSize: 'small' }, fc.constant(null), fc.boolean(), fc.double(), fc.string(), fc.array(tie('json'), { maxLength: 3 }), fc.dictionary(fc.oneof(keys, fc.string()), tie('json'), { maxKeys: 4 }))
  }))
  fc.assert(fc.property(json, (value) => {
    const input: unknown = JSON.parse(JSON.stringify(value) ?? 'null')
    for (const checked of [validateDaemonSettings(input), validateConfiguration(input)]) {
      if (!checked.ok) assert.ok(checked.val.length > 0 && checked.val.every(({ message: text }) => text !== ''))
    }
    const merged = { ...base, ...(typeof input === 'object' && !Array.isArray(input) ? input : {}) }
    validateConfiguration(merged)
    const patched = applyPatch({ head: { version: 1, changeId: 'c', digest: 'd' }, body: base }, undefined, { baseVersion: 1, patch: input })
    if (patched.ok) assert.ok(validateConfiguration(patched.val).ok)
    assert.equal(Object.getPrototypeOf({}).services, undefined)
  }), { seed: SEED, numRuns: 500 })
})

test('operators\' calls with any body get an answer that says what is wrong and change nothing', { timeout: 60_000 }, async () => {
  const { address } = deployment.entries[0]!.settings.operators
  const body = fc.oneof(fc.json(), fc.string(), fc.record({ baseVersion: fc.constantFrom(-1, 0, 2, 1e300), changeId: fc.string(), patch: fc.jsonValue(), note: fc.string() }).map((value) => JSON.stringify(value)))
  await fc.assert(fc.asyncProperty(fc.constantFrom('/v1/config/validate', '/v1/config/patches'), body, async (path, text) => {
    const answer = await fetchText(address, path, text)
    assert.ok([200, 400, 409, 422].includes(answer.status), `${answer.status} ${answer.text}`)
    assert.equal(typeof JSON.parse(answer.text), 'object')
  }), { seed: SEED, numRuns: 100 })
  await assertServing()
})
