/** A Node.js process that does nothing: what every process costs before it holds any state. */
import { measureHeapBytes } from './heap.js'

const BYTES_PER_MB = 1_048_576

if (process.send !== undefined) {
  process.on('disconnect', () => process.exit(0))
  process.send({ heapMb: measureHeapBytes() / BYTES_PER_MB })
}
