/** What goes wrong in each part of the control measurement. */
import type { IClock } from '@umberspar/base/common/clock'
import { chooseWatchers } from '@umberspar/steering/common/gossip/watchers'
import type { SavedStore } from '../standIns/keyValueStandIn.js'
import { waitUntil } from '../waiting.js'
import type { ControlFleet } from './controlFleet.js'

const SLOW_SPAN_MS = 200
const LOSS_PROBABILITY = 0.3
/** Longer than the span after which peers suspect a silent node, and than any lease. */
const PAUSE_MS = 6000
const OUTAGE_MS = 3000

/** One part of the measurement. */
export interface ControlPhase {
  readonly name: string
  readonly hasPatches: boolean
  /** Brings the fault about. */
  start (fleet: ControlFleet, clock: IClock): Promise<void>
  /** @returns the daemons that operators ask */
  listOperated (fleet: ControlFleet): string[]
  /** @returns the daemons at which changes must come into force during the fault */
  listExpected (fleet: ControlFleet): string[]
  /** Mends it. */
  stop (fleet: ControlFleet, clock: IClock): Promise<void>
}

const listAll = (fleet: ControlFleet): string[] => fleet.listNodeIds()
const runNothing = async (): Promise<void> => {}

/** One watcher and one other node of the first region. */
function listVictims (fleet: ControlFleet): string[] {
  const region = fleet.listRegions()[0] ?? ''
  const nodeIds = fleet.listNodeIds(region)
  const watchers = chooseWatchers(nodeIds.map((nodeId) => ({ nodeId, region })), region)
  const others = nodeIds.filter((nodeId) => !watchers.includes(nodeId))
  return [watchers[0] ?? '', others[0] ?? '']
}

function listSurvivors (fleet: ControlFleet): string[] {
  const victims = listVictims(fleet)
  return fleet.listNodeIds().filter((nodeId) => !victims.includes(nodeId))
}

function getCutRegion (fleet: ControlFleet): string {
  return fleet.listRegions()[1] ?? ''
}

function listConnected (fleet: ControlFleet): string[] {
  const cut = fleet.listNodeIds(getCutRegion(fleet))
  return fleet.listNodeIds().filter((nodeId) => !cut.includes(nodeId))
}

const quiet: ControlPhase = { name: 'no changes, no faults', hasPatches: false, start: runNothing, listOperated: listAll, listExpected: listAll, stop: runNothing }

const plain: ControlPhase = { ...quiet, name: 'no faults', hasPatches: true }

const slowStore: ControlPhase = {
  ...plain,
  name: `store slow by ${SLOW_SPAN_MS} ms`,
  start: async (fleet) => { fleet.platform.store.setFault({ slowSpanMs: SLOW_SPAN_MS }) },
  stop: async (fleet) => { fleet.platform.store.clearFaults() }
}

const lossyStore: ControlPhase = {
  ...plain,
  name: 'store loses 30 % of answers',
  start: async (fleet) => { fleet.platform.store.setFault({ loseAnswerProbability: LOSS_PROBABILITY }) },
  stop: async (fleet) => { fleet.platform.store.clearFaults() }
}

/** The store is down, a daemon is killed and starts anew from its peers. */
const storeDown: ControlPhase = {
  ...quiet,
  name: 'store down, a daemon killed and started',
  start: async (fleet) => {
    fleet.platform.store.setFault({ isDown: true })
    const [victim = ''] = listVictims(fleet)
    await fleet.cancelDaemon(victim)
    await fleet.startDaemon(victim)
    await fleet.waitUntilDaemonReady(victim)
  },
  stop: async (fleet, clock) => {
    await waitUntil(clock, clock.now() + OUTAGE_MS)
    fleet.platform.store.clearFaults()
  }
}

const pausedDaemons: ControlPhase = {
  ...plain,
  name: 'a watcher and another paused',
  start: async (fleet, clock) => {
    for (const nodeId of listVictims(fleet)) fleet.holdDaemon(nodeId)
    await waitUntil(clock, clock.now() + PAUSE_MS)
  },
  listOperated: listSurvivors,
  listExpected: listSurvivors,
  stop: async (fleet) => { for (const nodeId of listVictims(fleet)) fleet.releaseDaemon(nodeId) }
}

const killedDaemons: ControlPhase = {
  ...plain,
  name: 'a watcher and another killed',
  start: async (fleet) => { for (const nodeId of listVictims(fleet)) await fleet.cancelDaemon(nodeId) },
  listOperated: listSurvivors,
  listExpected: listSurvivors,
  stop: async (fleet) => { for (const nodeId of listVictims(fleet)) await fleet.startDaemon(nodeId) }
}

/** The cut region has watchers of its own, so that changes come into force there as well. */
const cutFromPeers: ControlPhase = {
  ...plain,
  name: 'a region cut from its peers',
  start: async (fleet) => { fleet.network.setCut(getCutRegion(fleet), { arePeersCut: true, isStoreCut: false }) },
  stop: async (fleet) => { fleet.network.setCut(getCutRegion(fleet), { arePeersCut: false, isStoreCut: false }) }
}

const cutFromStore: ControlPhase = {
  ...plain,
  name: 'a region cut from the store',
  start: async (fleet) => { fleet.network.setCut(getCutRegion(fleet), { arePeersCut: false, isStoreCut: true }) },
  listOperated: listConnected,
  stop: cutFromPeers.stop
}

const cutFromAll: ControlPhase = {
  ...plain,
  name: 'a region cut from peers and store',
  start: async (fleet) => { fleet.network.setCut(getCutRegion(fleet), { arePeersCut: true, isStoreCut: true }) },
  listOperated: listConnected,
  listExpected: listConnected,
  stop: cutFromPeers.stop
}

/** The store goes back by some versions while changes flow; what is in force stays. */
class RestoredStore implements ControlPhase {
  readonly name = 'store restored from an old state'
  readonly hasPatches = true
  readonly listOperated = listAll
  readonly listExpected = listAll
  readonly stop = runNothing

  async start (fleet: ControlFleet): Promise<void> {
    const backup: SavedStore = fleet.platform.store.saveState()
    for (let count = 0; count < 3; count++) await fleet.patch(fleet.listNodeIds())
    fleet.platform.store.loadState(backup)
  }
}

/** The parts in the order in which they run; each is mended before the next begins. */
export const CONTROL_PHASES: readonly ControlPhase[] = [
  quiet, plain, slowStore, lossyStore, storeDown, pausedDaemons, killedDaemons, cutFromPeers, cutFromStore, cutFromAll, new RestoredStore()
]
