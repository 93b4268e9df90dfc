import assert from 'node:assert/strict'
import { execFile } from 'node:child_process'
import { createServer, connect, type AddressInfo, type Socket } from 'node:net'
import { it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import { resetSocket } from '../../src/node/resetSocket.js'

const PROGRAM = fileURLToPath(new URL('./resetWhileEnding.js', import.meta.url))
const KILL_AFTER_MS = 20_000

// Guards against a process that never ends after a connection was reset while it was being ended.
it('leaves nothing open that keeps the process from ending, if the connection is being ended', { timeout: 60_000 }, async () => {
  await promisify(execFile)(process.execPath, [PROGRAM], { timeout: KILL_AFTER_MS, killSignal: 'SIGKILL' })
})

it('resets a connection that is open', async () => {
  const server = createServer()
  const accepted = new Promise<Socket>((resolve) => { server.on('connection', resolve) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1')
  const failed = new Promise<NodeJS.ErrnoException>((resolve) => { client.on('error', resolve) })
  resetSocket(await accepted)
  assert.equal((await failed).code, 'ECONNRESET')
  server.close()
})
