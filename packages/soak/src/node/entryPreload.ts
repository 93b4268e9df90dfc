/**
 * Preloaded into each entry process. Lets the soak shift the process's wall clock, as
 * if the machine's clock had been set (the monotonic clock is unaffected), and exits
 * the process when the soak's own process ends, so that no process is left behind.
 */
const readTime = Date.now
let shiftMs = 0

Date.now = () => readTime() + shiftMs

process.on('message', (message: { readonly shiftMs?: number }) => { shiftMs = message.shiftMs ?? shiftMs })
process.on('disconnect', () => { process.exit() })
process.channel?.unref()
