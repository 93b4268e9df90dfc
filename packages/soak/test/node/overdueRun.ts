/** A run that never ends, under the guard of the soak's programs. */
import { startRunGuard } from '../../src/node/runGuard.js'

const MARGIN_MS = 100

startRunGuard(7, 0, MARGIN_MS)
setInterval(() => {}, MARGIN_MS)
