/** Runs the steps of a routing plan, with one handler per fault. A handler returns when its step is over. */
import type { IClock } from '@umberspar/base/common/clock'
import { LinkFault, type TcpRelay } from '@umberspar/testing/node/standIns/tcpRelay'
import type { PlatformRecords } from '@umberspar/testing/node/standIns/usersPlatform/platformRecords'
import { WorkerLinkFault } from '@umberspar/testing/node/standIns/usersPlatform/workerLink'
import { StoreFault } from '@umberspar/testing/node/standIns/usersPlatform/recordStoreStandIn'
import { waitFor } from '@umberspar/testing/node/waiting'
import type { DisruptionLog } from '../../common/routing/disruptionLog.js'
import { RoutingFault, type RoutingStep } from '../../common/routing/routingPlan.js'
import { runStoreRollback } from '../storeRollback.js'
import type { RoutingEntry } from './routingEntries.js'

/** The objects that steps act on. */
export interface RoutingEnvironment {
  readonly clock: IClock
  readonly disruptions: DisruptionLog
  readonly records: PlatformRecords
  readonly entries: readonly RoutingEntry[]
  readonly workerLinks: readonly TcpRelay[]
  /** `host:port` of the workers. */
  readonly workerAddresses: readonly string[]
  /** Pauses or resumes the operator's configuration changes; they are paused while the store is unresponsive. */
  setChangesPaused(isPaused: boolean): void
}

type StepHandler = (environment: RoutingEnvironment, step: RoutingStep) => Promise<void>

const WORKER_LINK_FAULTS = Object.values(WorkerLinkFault).filter((fault) => fault !== WorkerLinkFault.None)
const REFUSAL_FAULTS = [StoreFault.Busy, StoreFault.TooMany, StoreFault.Reset, StoreFault.Silent]

function chooseEntries ({ entries }: RoutingEnvironment, { share, target }: RoutingStep): RoutingEntry[] {
  const firstIndex = Math.floor(target * entries.length)
  return [...entries, ...entries].slice(firstIndex, firstIndex + Math.max(1, Math.round(share * entries.length)))
}

/** Runs a fault and records it as a disruption of the given VMs; undefined stands for all. */
async function runDisruption (environment: RoutingEnvironment, nodes: ReadonlyArray<string | undefined>, runFault: () => Promise<void>): Promise<void> {
  const disruptions = nodes.map((node) => environment.disruptions.start(node, environment.clock.now()))
  try {
    await runFault()
  } finally {
    for (const disruption of disruptions) disruption.end(environment.clock.now())
  }
}

function listNodes (entries: readonly RoutingEntry[]): string[] {
  return entries.map(({ settings }) => settings.node)
}

/** Lists the links between the affected VMs and all others in both directions, and their links to the store. */
function listEntryLinks (environment: RoutingEnvironment, affected: readonly RoutingEntry[]): TcpRelay[] {
  const affectedNodes = new Set(listNodes(affected))
  const outgoing = affected.flatMap(({ storeLink, links }) => [storeLink, ...links.values()])
  const incoming = environment.entries.flatMap(({ links }) => [...links].filter(([name]) => affectedNodes.has(name)).map(([, link]) => link))
  return [...new Set([...outgoing, ...incoming])]
}

/** Kills the processes of the affected VMs and restarts them after a delay in milliseconds. */
async function runRestart (environment: RoutingEnvironment, affected: readonly RoutingEntry[], spanMs: number): Promise<void> {
  await Promise.all(affected.map(async (entry) => {
    await entry.runExclusively(async (program) => {
      entry.expectExit()
      await program.stopAtOnce()
      await waitFor(environment.clock, spanMs)
      entry.start()
    })
  }))
}

/** The platform restarts exited processes after a short delay like this. */
const RESTART_DELAY_MS = 500

const HANDLERS: Readonly<Record<RoutingFault, StepHandler>> = {
  [RoutingFault.ConnectionsStalled]: async (environment) => {
    await runDisruption(environment, [undefined], async () => {
      for (const { storeLink, links } of environment.entries) {
        for (const link of [storeLink, ...links.values()]) link.holdOpen()
      }
      for (const link of environment.workerLinks) link.holdOpen()
    })
  },
  [RoutingFault.NodePartition]: async (environment, step) => {
    const affected = chooseEntries(environment, step)
    await runDisruption(environment, listNodes(affected), async () => {
      const links = listEntryLinks(environment, affected)
      for (const link of links) link.setFault(LinkFault.Silence)
      await waitFor(environment.clock, step.spanMs)
      for (const link of links) link.setFault(LinkFault.None)
    })
  },
  [RoutingFault.StoreRefusesNodes]: async (environment, step) => {
    const affected = chooseEntries(environment, step)
    // While the store refuses some VMs, it counts as unstable for all VMs.
    await runDisruption(environment, [undefined], async () => {
      const fault = REFUSAL_FAULTS[Math.floor(step.target * REFUSAL_FAULTS.length)]!
      for (const { store } of affected) store.setFault(fault)
      await waitFor(environment.clock, step.spanMs)
      for (const { store } of affected) store.setFault(StoreFault.None)
    })
  },
  [RoutingFault.StoreUnresponsive]: async (environment, step) => {
    await runDisruption(environment, [undefined], async () => {
      environment.setChangesPaused(true)
      for (const { store } of environment.entries) store.setFault(StoreFault.Silent)
      await waitFor(environment.clock, step.spanMs)
      for (const { store } of environment.entries) store.setFault(StoreFault.None)
      environment.setChangesPaused(false)
    })
  },
  [RoutingFault.Pause]: async (environment, step) => {
    const affected = chooseEntries(environment, step)
    await runDisruption(environment, listNodes(affected), async () => {
      await Promise.all(affected.map(async (entry) => await entry.runExclusively(async (program) => {
        program.hold()
        await waitFor(environment.clock, step.spanMs)
        program.release()
      })))
    })
  },
  [RoutingFault.Kill]: async (environment, step) => {
    const affected = chooseEntries(environment, step)
    await runDisruption(environment, listNodes(affected), async () => { await runRestart(environment, affected, step.spanMs) })
  },
  [RoutingFault.KillAll]: async (environment) => {
    await runDisruption(environment, listNodes(environment.entries), async () => { await runRestart(environment, environment.entries, RESTART_DELAY_MS) })
  },
  [RoutingFault.StoreCompact]: async (environment) => {
    await runDisruption(environment, [undefined], async () => {
      for (const { store } of environment.entries) store.closeWatches()
      environment.records.store.state.clearHistory()
    })
  },
  // Not a disruption: a VM without workers serves as promised by way of another one.
  [RoutingFault.WorkersUnreachable]: async (environment, step) => {
    const affected = chooseEntries(environment, step)
    const fault = WORKER_LINK_FAULTS[Math.floor(step.target * WORKER_LINK_FAULTS.length)]!
    for (const entry of affected) entry.setWorkerLink(fault, environment.workerAddresses)
    await waitFor(environment.clock, step.spanMs)
    for (const entry of affected) entry.setWorkerLink(WorkerLinkFault.None, [])
  },
  [RoutingFault.StoreRollback]: async (environment, step) => {
    await runDisruption(environment, [undefined], async () => {
      await runStoreRollback(environment.clock, environment.records.store, step.spanMs, step.share, () => { environment.setChangesPaused(true) })
      environment.setChangesPaused(false)
    })
  }
}

/** Runs a step and returns when it is over. */
export async function runRoutingStep (environment: RoutingEnvironment, step: RoutingStep): Promise<void> {
  await HANDLERS[step.fault](environment, step)
}
