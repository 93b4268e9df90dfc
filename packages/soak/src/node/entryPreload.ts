/**
 * Loaded before an entry process's own program: lets the soak move its time of day,
 * as machines whose clock is set do (the steady clock stays as it is), and ends the
 * process when the soak itself is gone, so that nothing that it started is left.
 */
const readTime = Date.now
let shiftMs = 0

Date.now = () => readTime() + shiftMs

process.on('message', (message: { readonly shiftMs?: number }) => { shiftMs = message.shiftMs ?? 0 })
process.on('disconnect', () => { process.exit() })
process.channel?.unref()
