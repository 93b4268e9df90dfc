/** What a process uses of its machine, as the operating system counts it. */
import { readFile, readdir } from 'node:fs/promises'

const PEAK_MEMORY = /^VmHWM:\s+(\d+) kB$/m
const BYTES_PER_KB = 1_024
const BYTES_PER_MB = 1_000_000

/**
 * @param pid the id of a running process
 * @returns its largest resident memory so far, in megabytes
 * @throws if the process has ended
 */
export async function readPeakMemoryMb (pid: number): Promise<number> {
  const text = await readFile(`/proc/${pid}/status`, 'utf8')
  return Number(PEAK_MEMORY.exec(text)?.[1]) * BYTES_PER_KB / BYTES_PER_MB
}

/**
 * @param pid the id of a running process
 * @returns how many descriptors it has open
 * @throws if the process has ended
 */
export async function countDescriptors (pid: number): Promise<number> {
  return (await readdir(`/proc/${pid}/fd`)).length
}
