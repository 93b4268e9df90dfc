/** The way to one worker: a proxy whose open connections can fall silent for good, while new ones work. */
import { connect, createServer } from 'node:net'

/** One proxy. */
export class Link {
  #connections = new Set()
  #server = createServer({ noDelay: true }, (caller) => { this.#join(caller) })

  /** @param target the address of the worker, `host:port` */
  constructor (target) {
    const [host, port] = target.split(':')
    this.target = { host, port: Number(port), noDelay: true }
  }

  /** @returns the address at which the worker is reached */
  async listen (host) {
    await new Promise((resolve) => { this.#server.listen(0, host, resolve) })
    return `${host}:${this.#server.address().port}`
  }

  /** Passes on nothing more of the connections that are open now, in either direction, not even their ends. @returns their number */
  silenceOpen () {
    for (const connection of this.#connections) connection.isSilent = true
    return this.#connections.size
  }

  close () {
    this.#server.close()
    for (const { caller, worker } of this.#connections) {
      caller.destroy()
      worker.destroy()
    }
  }

  #join (caller) {
    const worker = connect(this.target)
    const connection = { caller, worker, isSilent: false }
    this.#connections.add(connection)
    for (const [from, to] of [[caller, worker], [worker, caller]]) {
      from.on('data', (chunk) => { if (!connection.isSilent) to.write(chunk) })
      from.on('error', () => {})
      from.on('close', () => {
        if (connection.isSilent) return
        this.#connections.delete(connection)
        to.destroy()
      })
    }
  }
}
