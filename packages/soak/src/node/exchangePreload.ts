/** Preloaded into each entry process. Loses datagrams on demand: a message from the soak's own process says how many. */
import { Socket } from 'node:dgram'
import { SeededRandom } from '@umberspar/base/common/random'

/** The parts of datagrams that are lost, 0 to 1. */
export interface ExchangeLoss {
  readonly sent: number
  readonly received: number
}

const random = new SeededRandom(process.pid)
let loss: ExchangeLoss = { sent: 0, received: 0 }
const send = Socket.prototype.send as (this: Socket, ...args: unknown[]) => void
const emit = Socket.prototype.emit as (this: Socket, ...args: unknown[]) => boolean

process.on('message', ({ exchangeLoss }: { readonly exchangeLoss?: ExchangeLoss }) => { loss = exchangeLoss ?? loss })

Socket.prototype.send = function (this: Socket, ...args: unknown[]): void {
  if (random.next() >= loss.sent) send.apply(this, args)
} as typeof Socket.prototype.send

Socket.prototype.emit = function (this: Socket, ...args: unknown[]): boolean {
  return args[0] === 'message' && random.next() < loss.received ? true : emit.apply(this, args)
} as typeof Socket.prototype.emit
