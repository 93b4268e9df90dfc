/** Resets connections of stand-ins. */
import type { Socket } from 'node:net'

/**
 * Closes a connection by a reset. While the connection is being ended, libuv refuses to reset
 * it, and Node.js then neither closes it nor can end its process: such a connection is closed
 * without a reset.
 * @param socket the connection
 */
export function resetSocket (socket: Socket): void {
  const isEnding = socket.writableEnded && !socket.writableFinished
  if (isEnding) socket.destroy()
  else socket.resetAndDestroy()
}
