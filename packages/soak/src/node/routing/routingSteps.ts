/** Carries the steps of a routing plan out: one handler a fault. Each returns when its step is over. */
import type { IClock } from '@umberspar/base/common/clock'
import { LinkFault, type TcpRelay } from '@umberspar/testing/node/standIns/tcpRelay'
import type { PlatformRecords } from '@umberspar/testing/node/standIns/usersPlatform/platformRecords'
import { StoreFault } from '@umberspar/testing/node/standIns/usersPlatform/recordStoreStandIn'
import { waitFor } from '@umberspar/testing/node/waiting'
import type { ContactLedger } from '../../common/routing/contactLedger.js'
import { RoutingFault, type RoutingStep } from '../../common/routing/routingPlan.js'
import type { RoutingEntry } from './routingEntries.js'

/** What steps act on. */
export interface RoutingStage {
  readonly clock: IClock
  readonly contacts: ContactLedger
  readonly records: PlatformRecords
  readonly entries: readonly RoutingEntry[]
  readonly workerLinks: readonly TcpRelay[]
  /** Keeps the operator from writing while the store is down. */
  holdChanges(isHeld: boolean): void
}

type StepHandler = (stage: RoutingStage, step: RoutingStep) => Promise<void>

const REFUSALS = [StoreFault.Busy, StoreFault.TooMany, StoreFault.Reset, StoreFault.Silent]

function chooseEntries ({ entries }: RoutingStage, { share, target }: RoutingStep): RoutingEntry[] {
  const from = Math.floor(target * entries.length)
  return [...entries, ...entries].slice(from, from + Math.max(1, Math.round(share * entries.length)))
}

/** Runs a disturbance of some VMs; undefined stands for all. */
async function runDisturbing (stage: RoutingStage, nodes: ReadonlyArray<string | undefined>, act: () => Promise<void>): Promise<void> {
  const disturbances = nodes.map((node) => stage.contacts.start(node, stage.clock.now()))
  try {
    await act()
  } finally {
    for (const disturbance of disturbances) disturbance.end(stage.clock.now())
  }
}

function listNames (entries: readonly RoutingEntry[]): string[] {
  return entries.map(({ settings }) => settings.node)
}

/** Links between some VMs and all others, both ways, and theirs to the store. */
function listLinksOf (stage: RoutingStage, struck: readonly RoutingEntry[]): TcpRelay[] {
  const names = new Set(listNames(struck))
  const outgoing = struck.flatMap(({ storeLink, links }) => [storeLink, ...links.values()])
  const incoming = stage.entries.flatMap(({ links }) => [...links].filter(([name]) => names.has(name)).map(([, link]) => link))
  return [...new Set([...outgoing, ...incoming])]
}

async function stopAndStart (stage: RoutingStage, struck: readonly RoutingEntry[], spanMs: number): Promise<void> {
  await Promise.all(struck.map(async (entry) => {
    await entry.runAlone(async (program) => {
      entry.expectEnd()
      await program.stopAtOnce()
      await waitFor(stage.clock, spanMs)
      entry.start()
    })
  }))
}

/** The platform restarts processes that end after a short delay, in milliseconds. */
const RESTART_MS = 500

const HANDLERS: Readonly<Record<RoutingFault, StepHandler>> = {
  [RoutingFault.ConnectionsSilent]: async (stage) => {
    await runDisturbing(stage, [undefined], async () => {
      for (const { storeLink, links } of stage.entries) {
        for (const link of [storeLink, ...links.values()]) link.holdOpen()
      }
      for (const link of stage.workerLinks) link.holdOpen()
    })
  },
  [RoutingFault.NodeCut]: async (stage, step) => {
    const struck = chooseEntries(stage, step)
    await runDisturbing(stage, listNames(struck), async () => {
      const links = listLinksOf(stage, struck)
      for (const link of links) link.setFault(LinkFault.Silence)
      await waitFor(stage.clock, step.spanMs)
      for (const link of links) link.setFault(LinkFault.None)
    })
  },
  [RoutingFault.NodesRefused]: async (stage, step) => {
    const struck = chooseEntries(stage, step)
    // A refusal of some VMs makes the store unstable for all of them.
    await runDisturbing(stage, [undefined], async () => {
      const fault = REFUSALS[Math.floor(step.target * REFUSALS.length)]!
      for (const { store } of struck) store.setFault(fault)
      await waitFor(stage.clock, step.spanMs)
      for (const { store } of struck) store.setFault(StoreFault.None)
    })
  },
  [RoutingFault.StoreSilent]: async (stage, step) => {
    await runDisturbing(stage, [undefined], async () => {
      stage.holdChanges(true)
      for (const { store } of stage.entries) store.setFault(StoreFault.Silent)
      await waitFor(stage.clock, step.spanMs)
      for (const { store } of stage.entries) store.setFault(StoreFault.None)
      stage.holdChanges(false)
    })
  },
  [RoutingFault.Pause]: async (stage, step) => {
    const struck = chooseEntries(stage, step)
    await runDisturbing(stage, listNames(struck), async () => {
      await Promise.all(struck.map(async (entry) => await entry.runAlone(async (program) => {
        program.hold()
        await waitFor(stage.clock, step.spanMs)
        program.release()
      })))
    })
  },
  [RoutingFault.Kill]: async (stage, step) => {
    const struck = chooseEntries(stage, step)
    await runDisturbing(stage, listNames(struck), async () => { await stopAndStart(stage, struck, step.spanMs) })
  },
  [RoutingFault.KillAll]: async (stage) => {
    await runDisturbing(stage, listNames(stage.entries), async () => { await stopAndStart(stage, stage.entries, RESTART_MS) })
  },
  [RoutingFault.Compact]: async (stage) => {
    await runDisturbing(stage, [undefined], async () => {
      for (const { store } of stage.entries) store.closeWatches()
      stage.records.store.state.clearHistory()
    })
  }
}

/** Does one step. */
export async function runRoutingStep (stage: RoutingStage, step: RoutingStep): Promise<void> {
  await HANDLERS[step.fault](stage, step)
}
