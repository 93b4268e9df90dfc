import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { ExitCode } from '../../src/common/exitCode.js'
import { buildNode, createStore, FakeDaemon, AdjustableClock, runCommandLine } from './fakeFleet.js'

const openedDaemons: FakeDaemon[] = []
/** Nothing listens here, because the system never assigns port 1. */
const CLOSED_ADDRESS = '127.0.0.1:1'

async function openDaemons (count: number): Promise<FakeDaemon[]> {
  const store = createStore(7, { drains: { failureDomains: ['klang-a'] } })
  for (let index = 0; index < count; index++) openedDaemons.push(await new FakeDaemon(store).open())
  return openedDaemons
}

function setFleet (daemon: FakeDaemon | undefined, nodes: object[]): void {
  daemon?.answers.set('/v1/fleet', () => ({ nodes }))
}

afterEach(async () => {
  for (const daemon of openedDaemons.splice(0)) await daemon.close()
})

describe('drain --wait', () => {
  it('reports machines as safe to stop only when every node that may still send traffic agrees', async () => {
    // One node has not adopted the drain yet and does not list it; another still has
    // open uploads. If either were ignored, the machines would be stopped while
    // requests are in flight.
    const [first, second] = await openDaemons(2)
    assert.ok(first !== undefined && second !== undefined)
    setFleet(first, [buildNode('n1', first.address), buildNode('n2', second.address), buildNode('n3', CLOSED_ADDRESS, 'suspected')])
    let rounds = 0
    first.answers.set('/v1/drains', () => {
      rounds += 1
      if (rounds === 1) return { drains: [] }
      return { drains: [{ target: 'klang-a', kind: 'failure-domain', weight: 0, inFlight: 0, isSafeToStop: true }] }
    })
    second.answers.set('/v1/drains', () => {
      const inFlight = Math.max(0, 4 - rounds)
      return { drains: [{ target: 'klang-a', kind: 'failure-domain', weight: 0, inFlight, isSafeToStop: inFlight === 0 }] }
    })
    const report = await runCommandLine(['drain', 'failure-domain', 'klang-a', '--wait', '--daemon', first.address])
    assert.equal(report.exitCode, ExitCode.Ok)
    assert.ok(rounds >= 4)
    assert.match(report.output, /^failure-domain klang-a: .*safe to stop the machines$/)
    assert.match(report.errors, /0 of 3 nodes done/)
    assert.match(report.errors, /no answer from n3/)
  })

  it('does not report success while a live node is unreachable, unless --allow-unreachable is given', async () => {
    // The client can't reach n2, but the other daemons see it as live, so it may
    // still be sending requests to the machines that are about to be stopped.
    const [first] = await openDaemons(1)
    assert.ok(first !== undefined)
    setFleet(first, [buildNode('n1', first.address), buildNode('n2', CLOSED_ADDRESS)])
    const clock = new AdjustableClock()
    let rounds = 0
    first.answers.set('/v1/drains', () => {
      rounds += 1
      if (rounds === 3) clock.setPastAllDeadlines()
      return { drains: [{ target: 'klang-a', kind: 'failure-domain', weight: 0, inFlight: 0, isSafeToStop: true }] }
    })
    const line = ['drain', 'failure-domain', 'klang-a', '--wait', '--daemon', first.address, '--json']
    const blockedReport = await runCommandLine(line, {}, clock)
    assert.equal(blockedReport.exitCode, ExitCode.DeadlinePassed)
    assert.match((JSON.parse(blockedReport.errors) as { error: { message: string } }).error.message, /no answer from n2/)
    const allowedReport = await runCommandLine([...line, '--allow-unreachable'])
    assert.equal(allowedReport.exitCode, ExitCode.Ok)
    const { progress } = JSON.parse(allowedReport.output) as { progress: Record<string, unknown> }
    assert.deepEqual([progress.isDone, progress.unreachable], [true, ['n2']])
  })
})

describe('reports over the fleet', () => {
  it('merges the burn counts of the nodes that answer and prints their number', async () => {
    const [first, second] = await openDaemons(2)
    assert.ok(first !== undefined && second !== undefined)
    setFleet(first, [buildNode('n1', first.address), buildNode('n2', second.address), buildNode('n3', CLOSED_ADDRESS)])
    const build = (good: number, bad: number): object => {
      const counts = { good, bad }
      return { services: { 'billing-svc': { objective: { target: 0.99, latencyMs: 500 }, windows: { '5m': counts, '1h': counts, '6h': counts }, total: counts } } }
    }
    first.answers.set('/v1/burn', () => build(990, 0))
    second.answers.set('/v1/burn', () => build(990, 20))
    const json = await runCommandLine(['report', 'burn', '--daemon', first.address, '--json'])
    assert.equal(json.exitCode, ExitCode.Ok)
    const report = JSON.parse(json.output) as { nodesAsked: number, nodesAnswered: number, unreachable: string[], services: Record<string, { windows: Record<string, { errorRate: number, burnRate: number }>, errorBudgetLeft: number }> }
    assert.deepEqual([report.nodesAsked, report.nodesAnswered, report.unreachable], [3, 2, ['n3']])
    const billing = report.services['billing-svc']
    assert.equal(billing?.windows['5m']?.errorRate, 0.01)
    assert.ok(Math.abs((billing?.windows['6h']?.burnRate ?? 0) - 1) < 1e-9)
    assert.ok(Math.abs(billing?.errorBudgetLeft ?? 1) < 1e-9)
    const text = await runCommandLine(['report', 'burn', '--service', 'billing-svc', '--daemon', first.address])
    assert.match(text.output, /counts of 2 of 3 nodes; without n3\nSERVICE .*BUDGET LEFT\nbilling-svc {2}99\.000% in 500 ms/)
    const unknown = await runCommandLine(['report', 'burn', '--service', 'no-svc', '--daemon', first.address])
    assert.equal(unknown.exitCode, ExitCode.Refused)
  })

  it('prints valid JSON for every read command', async () => {
    const [first] = await openDaemons(1)
    assert.ok(first !== undefined)
    setFleet(first, [buildNode('n1', first.address)])
    first.answers.set('/v1/status', () => ({ configurationVersion: 7 }))
    first.answers.set('/v1/config/versions/6', () => ({ head: { version: 6, changeId: 'change-6', digest: 'd' }, body: { deployment: 'old' } }))
    first.answers.set('/v1/lookup', () => ({ service: 'billing-svc', region: 'klang', configurationVersion: 7, cacheForMs: 2000, entries: [{ nodeId: 'n1', address: first.address, weight: 1 }] }))
    const lines: Array<[string[], (document: Record<string, unknown>) => unknown, unknown]> = [
      [['config', 'get'], (document) => (document.head as { version: number }).version, 7],
      [['config', 'get', '--version', '6'], (document) => document.body, { deployment: 'old' }],
      [['config', 'history'], (document) => (document.entries as unknown[]).length, 1],
      [['config', 'status'], (document) => document.isInForceEverywhere, true],
      [['status'], (document) => (document.nodes as unknown[]).length, 1],
      [['lookup', '--service', 'billing-svc', '--client-address', '198.51.100.7'], (document) => document.region, 'klang']
    ]
    for (const [line, read, expected] of lines) {
      const report = await runCommandLine([...line, '--daemon', first.address, '--json'])
      assert.equal(report.exitCode, ExitCode.Ok, line.join(' '))
      assert.deepEqual(read(JSON.parse(report.output) as Record<string, unknown>), expected, line.join(' '))
      const plain = await runCommandLine([...line, '--daemon', first.address])
      assert.equal(plain.exitCode, ExitCode.Ok)
      assert.notEqual(plain.output, '')
    }
  })
})

describe('the command line', () => {
  const commands = [[], ['config'], ['config', 'get'], ['config', 'validate'], ['config', 'patch'], ['config', 'history'], ['config', 'status'],
    ['drain'], ['drain', 'failure-domain'], ['drain', 'region'], ['drain', 'place'], ['undrain'], ['undrain', 'place'], ['status'], ['lookup'], ['report'], ['report', 'burn']]

  it('has help with examples for every command, and shell completion', async () => {
    for (const command of commands) {
      const report = await runCommandLine([...command, '--help'])
      assert.equal(report.exitCode, ExitCode.Ok, command.join(' '))
      assert.match(report.output, /Examples:/, command.join(' '))
    }
    assert.match((await runCommandLine(['completion'])).output, /--get-yargs-completions/)
    assert.match((await runCommandLine(['--get-yargs-completions', 'umberspar', 'config', ''])).output, /history/)
    assert.match((await runCommandLine(['--version'])).output, /^\d+\.\d+\.\d+$/)
  })

  it('ends with exit code 2 and sends nothing if the command line is invalid', async () => {
    const [first] = await openDaemons(1)
    const invalidLines = [
      [], ['nonsense'], ['drain'], ['config', 'patch', '--set', 'a=1'], ['config', 'patch', '--base', '7'], ['config', 'patch', '--base', 'x', '--set', 'a=1'],
      ['config', 'patch', '--base', '7', '--set', 'a=text'], ['config', 'patch', '--base', '7', '--set', '__proto__.a=1'],
      ['status', '--nonsense'], ['status', '--timeout', '0'], ['lookup', '--service', 'billing-svc', '--client-address', 'here']
    ]
    for (const line of invalidLines) {
      const report = await runCommandLine([...line, '--daemon', first?.address ?? '', '--json'])
      assert.equal(report.exitCode, ExitCode.Usage, line.join(' '))
      assert.equal((JSON.parse(report.errors) as { error: { code: string } }).error.code, 'usage')
    }
    assert.equal((await runCommandLine(['status'])).exitCode, ExitCode.Usage)
    assert.deepEqual(first?.requestLines, [])
  })

  it('validates a complete configuration without a daemon', async () => {
    const file = fileURLToPath(new URL('../../../package.json', import.meta.url))
    const report = await runCommandLine(['config', 'validate', '--file', file, '--json'])
    assert.equal(report.exitCode, ExitCode.Refused)
    const { valid, problems } = JSON.parse(report.output) as { valid: boolean, problems: Array<{ path: string }> }
    assert.equal(valid, false)
    assert.ok(problems.some((problem) => problem.path === 'deployment'))
    assert.equal((await runCommandLine(['config', 'validate', '--file', `${file}.missing`])).exitCode, ExitCode.Refused)
  })
})
