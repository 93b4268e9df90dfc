/** Memory of this process after a full collection of garbage. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

const BYTES_PER_MB = 1_048_576

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

/**
 * @param build makes what is to be measured
 * @returns megabytes that are freed when the only reference to it is dropped
 */
export function measureHeldMb (build: () => unknown): number {
  const held: { value?: unknown } = { value: build() }
  const before = measureHeapBytes()
  delete held.value
  return (before - measureHeapBytes()) / BYTES_PER_MB
}
