/** Reads what the HTTP server of Node.js notes on its sockets. */
import type { Socket } from 'node:net'

interface ServerSocket extends Socket {
  readonly _paused?: boolean
}

/**
 * The server pauses the parser of a connection whose responses aren't read, and fails if data comes nevertheless.
 * While the socket is paused for another reason as well, only this note shows it.
 * @param socket a connection of a server
 * @returns whether the server has paused the parser
 */
export function isParserPaused (socket: Socket): boolean {
  return (socket as ServerSocket)._paused === true
}
