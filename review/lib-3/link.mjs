/** A proxy before a worker, as a link of a given bandwidth that can go dark. */
import { connect, createServer } from 'node:net'

const TICK_MS = 5
const BITS_PER_BYTE = 8

export class Link {
  /** @param mbps the bandwidth for all connections together, towards the machine */
  constructor (port, mbps) {
    this.port = port
    this.bytesPerTick = mbps * 1_000_000 / BITS_PER_BYTE / 1_000 * TICK_MS
    this.pairs = new Set()
    this.isDark = false
    this.lastTickAt = performance.now()
    this.server = createServer((client) => { this.accept(client) })
    this.timer = setInterval(() => { this.tick() }, TICK_MS)
  }

  async listen () {
    await new Promise((resolve) => { this.server.listen(0, '127.0.0.1', resolve) })
    return `127.0.0.1:${this.server.address().port}`
  }

  accept (client) {
    const worker = connect(this.port, '127.0.0.1')
    const pair = { client, worker, waiting: [], isSilent: this.isDark, hasEnded: false }
    this.pairs.add(pair)
    client.setNoDelay(true)
    client.on('data', (chunk) => { if (!pair.isSilent) worker.write(chunk) })
    worker.on('data', (chunk) => { pair.waiting.push(chunk) })
    const end = (other) => {
      if (pair.isSilent) return
      this.pairs.delete(pair)
      other.destroy()
    }
    client.on('error', () => {})
    worker.on('error', () => {})
    client.on('close', () => { end(worker) })
    worker.on('close', () => { pair.hasEnded = true })
  }

  tick () {
    const now = performance.now()
    let left = this.bytesPerTick * (now - this.lastTickAt) / TICK_MS
    this.lastTickAt = now
    const open = [...this.pairs].filter(({ isSilent, waiting }) => !isSilent && waiting.length > 0)
    const share = Math.ceil(left / Math.max(1, open.length))
    for (const pair of open) {
      let part = Math.min(share, left)
      while (part > 0 && pair.waiting.length > 0) {
        const chunk = pair.waiting[0]
        const sent = chunk.subarray(0, Math.floor(part) + 1)
        pair.client.write(sent)
        part -= sent.length
        left -= sent.length
        if (sent.length === chunk.length) pair.waiting.shift()
        else pair.waiting[0] = chunk.subarray(sent.length)
      }
    }
    for (const pair of this.pairs) {
      if (!pair.hasEnded || pair.isSilent || pair.waiting.length > 0) continue
      this.pairs.delete(pair)
      pair.client.end()
    }
  }

  /** The worker behind the link has crashed and is dark: from now on nothing passes in either direction, also on new connections. */
  goDark () {
    this.isDark = true
    for (const pair of this.pairs) pair.isSilent = true
  }

  close () {
    clearInterval(this.timer)
    for (const { client, worker } of this.pairs) {
      client.destroy()
      worker.destroy()
    }
    this.server.close()
  }
}
