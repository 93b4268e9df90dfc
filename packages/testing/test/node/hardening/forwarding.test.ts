import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import { type AddressInfo, connect } from 'node:net'
import { after, before, test } from 'node:test'
import { createDeadline } from '@umberspar/base/common/deadline'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { DeploymentName } from '../../../src/common/load/mixes.js'
import { LocalDeployment } from '../../../src/node/deployment/localDeployment.js'
import { waitForCondition } from '../../../src/node/load/polling.js'

const SEED = 7
const WAIT_MS = 20_000
const POLL_MS = 20
const SERVICE = 'echo'
const clock = new SystemClock()
let deployment: LocalDeployment
let entry = ''

/** What reached the worker. */
interface Echo {
  readonly method: string
  readonly url: string
  readonly headers: Readonly<Record<string, string | undefined>>
}

/** A worker that tells what it received. */
const worker = createServer((request, response) => {
  const { method, url, headers } = request
  if (url === '/health') response.end(JSON.stringify({ state: 'ready' }))
  else if (url === '/load') response.end(JSON.stringify({ utilization: 0, inFlight: 0 }))
  else response.end(JSON.stringify({ method, url, headers }))
})

before(async () => {
  await new Promise<void>((resolve) => { worker.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(worker.address() as AddressInfo).port}`
  deployment = await LocalDeployment.start({ deployment: DeploymentName.Guild, seed: SEED, entries: 1 })
  assert.ok(await deployment.waitUntilReady(WAIT_MS))
  const { settings: { callers, operators, failureDomain } } = deployment.entries[0]!
  entry = callers.address
  const patch = { services: { [SERVICE]: { places: { [failureDomain]: { workers: { w1: { address, slots: 4, connections: 8 } } } } } } }
  const patched = await deployment.operators.patch(operators.address, { baseVersion: 1, changeId: 'add-echo', patch, note: '' })
  assert.equal(patched.status, 200, patched.text)
  const isServed = (): Promise<boolean> => send(`/v1/services/${SERVICE}/`).then(({ status }) => status === 200)
  assert.ok(await waitForCondition(clock, createDeadline(clock.now(), WAIT_MS), POLL_MS, isServed))
})

after(async () => {
  await deployment.close()
  worker.close()
})

/** Sends a target and fields as they are; no client tidies them up. */
function send (target: string, fields: readonly string[] = [], method = 'GET'): Promise<{ status: number, echo: Echo | undefined }> {
  const [host = '', port = ''] = entry.split(':')
  return new Promise((resolve) => {
    let text = ''
    const socket = connect({ host, port: Number(port) }, () => { socket.write([`${method} ${target} HTTP/1.1`, 'Host: a', 'Connection: close', ...fields, '', ''].join('\r\n')) })
    socket.on('data', (part) => { text += part.toString() })
    socket.on('error', () => {})
    socket.once('close', () => {
      const json = /\{"method".*\}/.exec(text)?.[0]
      resolve({ status: Number(text.split(' ')[1]), echo: json === undefined ? undefined : JSON.parse(json) as Echo })
    })
  })
}

// A caller bends the path to reach another service, or the worker's own endpoints
// of another one. What stands below the service goes to that service's worker as
// it is; a service written in another way does not exist.
test('the path below a service is forwarded as it stands and never leads to another service', async () => {
  const base = `/v1/services/${SERVICE}`
  for (const path of ['/a//b', '//other.example/x', '/../closeout-desk/items/1', '/./x', '/%2e%2e/%2Fx', '/a?b=//c&d=%0A', '/%E6%8A%A4', "/a;b=c,d!$&'()*+@:"]) {
    const { status, echo } = await send(base + path)
    assert.deepEqual([status, echo?.url], [200, path], path)
  }
  assert.equal((await send(base)).echo?.url, '/')
  assert.equal((await send(`${base}?q=1`)).echo?.url, '/?q=1')
  assert.equal((await send(`http://other.example${base}/x`)).echo?.url, '/x')
  for (const target of ['/v1/services/%65cho/x', '/v1/services//echo/x', '/v1%2Fservices/echo/x', '/v1/services/../services/echo/x', '//v1/services/echo/x', '/v1/services/constructor/x', '/V1/services/echo/x', '/v1/status', '/healthz', '/v1/config']) {
    assert.equal((await send(target, ['umberspar-timeout-ms: 1000'])).status, 404, target)
  }
})

// A caller sends the fields by which daemons and workers know each other, names
// fields in Connection to strip them, or writes another client's address.
test('a worker sees the daemon\'s own fields, the true client address, and no field of the caller\'s connection', async () => {
  const { echo } = await send(`/v1/services/${SERVICE}/x`, [
    'umberspar-entry: forged', 'umberspar-request-id: r-1', 'umberspar-timeout-ms: 5000', 'X-Forwarded-For: 203.0.113.9', 'Keep-Alive: timeout=9', 'TE: trailers',
    'Upgrade: h2c', 'Proxy-Authorization: x', 'Proxy-Connection: close', 'Idempotency-Key: k', 'Connection: x-named, idempotency-key, umberspar-request-id', 'X-Named: 1', 'X-Kept: 1'
  ])
  const headers = echo?.headers ?? {}
  assert.equal(headers['umberspar-entry'], deployment.entries[0]!.settings.nodeId)
  assert.equal(headers['umberspar-request-id'], 'r-1')
  assert.ok(Number(headers['umberspar-timeout-ms']) <= 5000)
  assert.equal(headers['idempotency-key'], 'k')
  // The deployment's settings trust 127.0.0.0/8, so the received hop stays and the socket's address is appended.
  assert.match(headers['x-forwarded-for'] ?? '', /^203\.0\.113\.9, 127\./)
  assert.equal(headers['x-kept'], '1')
  for (const name of ['keep-alive', 'te', 'upgrade', 'proxy-authorization', 'proxy-connection', 'x-named']) assert.equal(headers[name], undefined, name)
})
