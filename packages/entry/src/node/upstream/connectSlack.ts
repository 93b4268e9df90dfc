/** How much longer than the round trip time opening a connection may take, in milliseconds. */
export const CONNECT_SLACK_MS = 250
