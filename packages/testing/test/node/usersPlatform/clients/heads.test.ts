import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EntryTrial } from '../../../../src/node/clients/entryTrial.js'
import { checkCrowd, CONNECTIONS, MACHINE, ORDINARY_HEAD } from './trialChecks.js'

const MAX_HEAD_BYTES = 16_384
const UNROUTED_HEAD = ORDINARY_HEAD.replace('/a/1', '/none/1')

/** Lines as many as fit into a head of legal size. */
function buildHead (head: string, buildLine: (index: number) => string): string {
  let text = head
  for (let index = 0; ; index++) {
    const line = `${buildLine(index)}\r\n`
    // The product counts four bytes for the separators of each line, whether they are sent or not.
    if (text.length + line.length + (index + 8) * 2 > MAX_HEAD_BYTES) return `${text}\r\n`
    text += line
  }
}

const LINES: Readonly<Record<string, (index: number) => string>> = {
  'empty fields of one name': () => 'a:',
  'distinct names': (index) => `${index.toString(36)}:`,
  cookies: () => 'cookie:a=b',
  'odd names and a long Connection': (index) => ['__proto__:a', 'constructor:b', `Connection:a,b,c,d,e,f,x${index.toString(36)}`][index % 3]!
}

// Guards against heads whose cost follows the number of their lines, which no limit counted.
describe('heads of legal size made of very many lines', { timeout: 900_000 }, () => {
  for (const [name, buildLine] of Object.entries(LINES)) {
    it(`do not exhaust the process: ${name}, on a route`, async () => {
      await checkCrowd(({ settings }) => ({ address: settings.listen.callers, connections: CONNECTIONS, bytes: { repeated: buildHead(ORDINARY_HEAD, buildLine) } }))
    })

    it(`do not exhaust the process: ${name}, on no route`, async () => {
      await checkCrowd(({ settings }) => ({ address: settings.listen.callers, connections: CONNECTIONS, bytes: { repeated: buildHead(UNROUTED_HEAD, buildLine) } }))
    })

    it(`are served in calm: ${name}`, async () => {
      const trial = new EntryTrial(MACHINE)
      try {
        await trial.start()
        assert.match(await trial.exchange(buildHead(ORDINARY_HEAD, buildLine)), /^HTTP\/1\.1 200 /)
      } finally {
        await trial.close()
      }
    })
  }

  it('do not exhaust the process: heads that stop just before their end', async () => {
    await checkCrowd(({ settings }) => ({ address: settings.listen.callers, connections: 400, bytes: { first: buildHead(ORDINARY_HEAD, LINES['distinct names']!).slice(0, -2) } }))
  })
})
