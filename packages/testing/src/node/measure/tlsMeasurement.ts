/** What the limits of a listener and TLS cost, against Node.js's bare HTTP server in the same run. */
import { createServer, type RequestListener, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createSecureContext } from 'node:tls'
import { Agent } from 'undici'
import { CloseStack } from '@umberspar/base/common/closing'
import type { IClosable } from '@umberspar/base/common/closing'
import { createDeadline, hasPassed } from '@umberspar/base/common/deadline'
import { NULL_LOGGER } from '@umberspar/base/common/logger'
import { SystemClock } from '@umberspar/base/node/systemClock'
import { HttpListener } from '@umberspar/daemon/node/httpListener'
import { TlsCertificateProvider } from '@umberspar/adapters/node/tls/tlsCertificateProvider'
import { LatencyRecorder } from '../load/latencyRecorder.js'
import { CertificateFiles, TestAuthority } from '../tls/testCertificates.js'
import type { FigureRow, Measurement, MeasureOptions } from './measurement.js'
import { printFigures } from './measurement.js'

const NAME = 'tls'
const HOST = '127.0.0.1'
const ANSWER = Buffer.alloc(1024, 'x')
/** Each turn of one way is short, so that all ways see the same machine. */
const REQUESTS_PER_TURN = 100
const CONCURRENCY = 4
const WARM_UP_TURNS = 3
const US_PER_MS = 1000
const MS_PER_SECOND = 1000

/** How the listener is made. */
enum Way {
  Bare = 'bare http',
  Guarded = 'listener',
  Secured = 'listener with TLS'
}

/** How connections are used. */
enum Reuse {
  Kept = 'kept open',
  New = 'new each time',
  /** As `New`, with the client's certificates parsed once, as a daemon does towards workers. */
  Shared = 'new, shared context'
}

/** One way under measurement. */
interface Course extends IClosable {
  readonly way: Way
  readonly reuse: Reuse
  readonly origin: string
  readonly agent: Agent
  latencies: LatencyRecorder
  cpuUs: number
}

const answer: RequestListener = (_request, response) => {
  response.setHeader('Content-Length', ANSWER.length)
  response.end(ANSWER)
}

/** Starts the three listeners; the certificates are made for this run. */
class Listeners implements IClosable {
  private readonly closing = new CloseStack()
  ca = ''

  async start (clock: SystemClock): Promise<Record<Way, string>> {
    const authority = await TestAuthority.create('measure')
    this.ca = authority.certificate
    const files = this.closing.add(await CertificateFiles.write(await authority.createKey({ name: 'listener', addresses: [HOST] }), authority))
    const loaded = await TlsCertificateProvider.load({ section: NAME, files: { certificate: files.certificate, key: files.key }, clock, logger: NULL_LOGGER })
    if (!loaded.ok) throw loaded.val
    const tls = this.closing.add(loaded.val)
    return {
      [Way.Bare]: `http://${await this.startBare()}`,
      [Way.Guarded]: `http://${await this.startListener(new HttpListener('guarded', answer, { clock }))}`,
      [Way.Secured]: `https://${await this.startListener(new HttpListener('secured', answer, { clock, tls }))}`
    }
  }

  close (): Promise<void> {
    return this.closing.close()
  }

  private startBare (): Promise<string> {
    const server: Server = createServer(answer)
    this.closing.add({ close: () => { server.close() } })
    return new Promise((resolve) => { server.listen(0, HOST, () => resolve(`${HOST}:${(server.address() as AddressInfo).port}`)) })
  }

  private async startListener (listener: HttpListener): Promise<string> {
    this.closing.add(listener)
    const address = await listener.listen(`${HOST}:0`)
    if (!address.ok) throw address.val
    return address.val
  }
}

function createCourse (way: Way, reuse: Reuse, origin: string, ca: string): Course {
  const connect = reuse === Reuse.Shared ? { secureContext: createSecureContext({ ca }) } : { ca }
  // Without keep-alive every request pays for a connection; no session is resumed,
  // as for a caller that comes for the first time.
  const agent = new Agent({ connections: CONCURRENCY, pipelining: reuse === Reuse.Kept ? 1 : 0, connect: { ...connect, maxCachedSessions: 0 } })
  return { way, reuse, origin, agent, latencies: new LatencyRecorder(), cpuUs: 0, close: () => agent.close() }
}

async function runTurn (course: Course, clock: SystemClock): Promise<void> {
  const cpuThen = process.cpuUsage()
  const runOne = async (): Promise<void> => {
    for (let index = 0; index < REQUESTS_PER_TURN / CONCURRENCY; index++) {
      const startedAt = clock.now()
      const response = await course.agent.request({ origin: course.origin, path: '/v1/lookup?service=s', method: 'GET' })
      await response.body.dump()
      course.latencies.record(clock.now() - startedAt)
    }
  }
  await Promise.all(Array.from({ length: CONCURRENCY }, runOne))
  const { user, system } = process.cpuUsage(cpuThen)
  course.cpuUs += user + system
}

function buildRows (courses: readonly Course[]): FigureRow[] {
  return courses.map((course) => {
    const bare = courses.find(({ way, reuse }) => way === Way.Bare && reuse === course.reuse) ?? course
    const { count, p50Ms, p99Ms } = course.latencies.getSummary()
    const cpuPerRequest = course.cpuUs / count
    const ratio = cpuPerRequest / (bare.cpuUs / bare.latencies.getSummary().count)
    return { listener: course.way, connections: course.reuse, count, cpuUs: cpuPerRequest, cpuRatio: ratio, p50Us: p50Ms * US_PER_MS, p99Us: p99Ms * US_PER_MS }
  })
}

async function runTls (options: MeasureOptions): Promise<string | undefined> {
  const closing = new CloseStack()
  const clock = new SystemClock()
  try {
    const listeners = closing.add(new Listeners())
    const origins = await listeners.start(clock)
    const courses = Object.values(Reuse).flatMap((reuse) => Object.values(Way).map((way) => closing.add(createCourse(way, reuse, origins[way], listeners.ca))))
    for (let turn = 0; turn < WARM_UP_TURNS; turn++) {
      for (const course of courses) await runTurn(course, clock)
    }
    for (const course of courses) {
      course.latencies = new LatencyRecorder()
      course.cpuUs = 0
    }
    const until = createDeadline(clock.now(), options.seconds * MS_PER_SECOND)
    while (!hasPassed(until, clock.now())) {
      for (const course of courses) await runTurn(course, clock)
    }
    printFigures(NAME, buildRows(courses))
    return undefined
  } finally {
    await closing.close()
  }
}

/** `npm run measure -- tls` */
export const TLS_MEASUREMENT: Measurement = {
  summary: 'processor time of a listener with limits, and with TLS, against a bare HTTP server, client included',
  run: runTls
}
