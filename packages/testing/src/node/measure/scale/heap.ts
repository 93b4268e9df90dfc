/** Memory of this process after a full collection of garbage. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** @returns bytes of the heap in use and of the typed arrays beside it */
export function measureHeapBytes (): number {
  // Twice: the first may leave what finalizers still held.
  collectGarbage()
  collectGarbage()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}
