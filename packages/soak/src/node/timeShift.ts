/**
 * Loaded before an entry process's own program: lets the soak move its time of day,
 * as machines whose clock is set do. The steady clock stays as it is.
 */
const readTime = Date.now
let shiftMs = 0

Date.now = () => readTime() + shiftMs

process.on('message', (message: { readonly shiftMs?: number }) => { shiftMs = message.shiftMs ?? 0 })
process.channel?.unref()
