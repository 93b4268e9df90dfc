/** The thread of a `ProcessorQuota`: pauses processes that have used up their quota until the next period. */
import { readFileSync } from 'node:fs'
import { parentPort } from 'node:worker_threads'
import type { QuotaOrder } from './processorQuota.js'

const PERIOD_MS = 100
const CHECK_INTERVAL_MS = 10
/** USER_HZ, the unit of the times in /proc/PID/stat. */
const MS_PER_TICK = 10
const USER_TICKS_FIELD = 11
const SYSTEM_TICKS_FIELD = 12

interface LimitedProcess {
  usedMs: number
  /** What is left of the quota; negative if the process used more. */
  leftMs: number
  isPaused: boolean
}

const processes = new Map<number, LimitedProcess>()
let quotaMs = 0
let periodEndsAt = performance.now() + PERIOD_MS

/** @returns the processor time of a process so far, in milliseconds; undefined if it has ended */
function readUsedMs (pid: number): number | undefined {
  try {
    const text = readFileSync(`/proc/${pid}/stat`, 'latin1')
    const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
    return (Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD])) * MS_PER_TICK
  } catch {
    // Ended; the process is dropped.
    return undefined
  }
}

function setPaused (pid: number, limited: LimitedProcess, isPaused: boolean): void {
  if (limited.isPaused === isPaused) return
  limited.isPaused = isPaused
  try {
    process.kill(pid, isPaused ? 'SIGSTOP' : 'SIGCONT')
  } catch {
    processes.delete(pid)
  }
}

function checkProcesses (): void {
  const isNewPeriod = performance.now() >= periodEndsAt
  if (isNewPeriod) periodEndsAt = Math.max(periodEndsAt + PERIOD_MS, performance.now())
  for (const [pid, limited] of processes) {
    const usedMs = readUsedMs(pid)
    if (usedMs === undefined) {
      processes.delete(pid)
      continue
    }
    limited.leftMs -= usedMs - limited.usedMs
    limited.usedMs = usedMs
    if (isNewPeriod) limited.leftMs = Math.min(quotaMs, limited.leftMs + quotaMs)
    setPaused(pid, limited, limited.leftMs <= 0)
  }
}

const timer = setInterval(checkProcesses, CHECK_INTERVAL_MS)

parentPort!.on('message', (order: QuotaOrder | undefined) => {
  if (order?.share === undefined) {
    for (const [pid, limited] of processes) setPaused(pid, limited, false)
    processes.clear()
  }
  if (order === undefined) {
    clearInterval(timer)
    parentPort!.close()
    return
  }
  quotaMs = (order.share ?? 0) * PERIOD_MS
  if (order.share === undefined) return
  for (const pid of order.pids) {
    if (!processes.has(pid)) processes.set(pid, { usedMs: readUsedMs(pid) ?? 0, leftMs: quotaMs, isPaused: false })
  }
})
