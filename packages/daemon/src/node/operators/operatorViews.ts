/** The data that the operators' listener exposes, read from the daemon's parts. */
import type { IClock } from '@umberspar/base/common/clock'
import { createDeadline } from '@umberspar/base/common/deadline'
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import type { DaemonSettings } from '@umberspar/adapters/node/settings/daemonSettings'
import { NodeState } from '@umberspar/steering/common/state/nodeState'
import type { DaemonParts } from '../daemonParts.js'
import { computeMemberState, type Member } from '../members/memberDirectory.js'
import { listDrains } from './drainStatus.js'
import type { OperatorViews } from './operatorServer.js'

const READ_TIMEOUT_MS = 3000

/**
 * @param settings this daemon's settings
 * @param parts the daemon's parts
 * @param clock the time source
 * @returns the views of the operators' listener
 */
export function buildViews (settings: DaemonSettings, parts: DaemonParts, clock: IClock): OperatorViews {
  const createReadDeadline = (): number => createDeadline(clock.now(), READ_TIMEOUT_MS)
  return {
    isReady: () => getReadiness(parts),
    getStatus: () => getStatus(settings, parts),
    getFleet: () => ({ nodes: parts.members.list().map((member) => getFleetNode(settings, parts, member)) }),
    getConfiguration: () => parts.configurationManager.current,
    listHistory: async () => {
      const history = await parts.configurations.listHistory(createReadDeadline())
      return history.ok ? { entries: history.val } : history.val
    },
    readVersion: (version) => readVersion(parts, version, createReadDeadline()),
    predictDrain: (configuration) => parts.drainPlanner.predict(configuration),
    listDrains: () => {
      const current = parts.configurationManager.current
      return { drains: current === undefined ? [] : listDrains(current.body, parts.places, parts.plans) }
    },
    getBurn: () => getBurn(parts, clock)
  }
}

function getReadiness (parts: DaemonParts): { isReady: boolean, reason: string } {
  if (parts.configurationManager.current === undefined) return { isReady: false, reason: `no configuration yet: ${parts.watcher.getFailureReason()}` }
  if (!parts.members.hasReadList) return { isReady: false, reason: 'the VM list has not been read yet' }
  if (parts.peerService.state !== NodeState.Live) return { isReady: false, reason: `this node is ${parts.peerService.state}` }
  return { isReady: true, reason: 'serving' }
}

function getStatus (settings: DaemonSettings, parts: DaemonParts): object {
  return {
    nodeId: settings.nodeId,
    region: settings.region,
    failureDomain: settings.failureDomain,
    state: parts.peerService.state,
    configurationVersion: parts.configurationManager.version,
    highestVersionSeen: parts.configurationManager.highestReportedVersion,
    spread: parts.watcher.getStatus(),
    inFlight: parts.requests.inFlight,
    isPlanSettled: parts.plans.isSettled,
    planEpoch: parts.planHolder.epoch,
    plans: parts.plans.listServices().map((service) => ({
      service,
      agreedVersion: parts.plans.findAgreedPlan(service)?.version ?? 0,
      inForceVersion: parts.plans.find(service)?.inForceVersion ?? 0,
      isAway: parts.plans.find(service)?.isAway ?? false,
      demand: parts.measurementCollector.getDemand(service),
      failed: [...parts.measurementCollector.listFailed(service)]
    })),
    places: parts.places.list().map((pool) => ({
      ...pool.key,
      slots: pool.slots,
      inFlight: pool.inFlight,
      waiting: pool.waiting,
      weight: parts.plans.computeMeanWeight(pool.key.service, pool.key.failureDomain)
    }))
  }
}

function getFleetNode (settings: DaemonSettings, parts: DaemonParts, member: Member): object {
  const isSelf = member.vm.vmId === settings.nodeId
  return {
    nodeId: member.vm.vmId,
    region: member.vm.region,
    failureDomain: member.vm.failureDomain,
    state: isSelf ? parts.peerService.state : computeMemberState(member),
    callersAddress: member.vm.address,
    operatorAddress: member.vm.operatorAddress ?? '',
    configurationVersion: isSelf ? parts.configurationManager.version : member.configurationVersion
  }
}

async function readVersion (parts: DaemonParts, version: number, deadline: number): Promise<object | StepError> {
  const history = await parts.configurations.listHistory(deadline)
  if (!history.ok) return history.val
  const entry = history.val.find((candidate) => candidate.version === version)
  if (entry === undefined) return new StepError({ code: ErrorCode.NotFound, step: 'read-version', peer: 'store', message: `version ${version} is not in the history` })
  const read = await parts.patches.readVersion(entry, deadline)
  return read.val
}

function getBurn (parts: DaemonParts, clock: IClock): object {
  const services = parts.configurationManager.current?.body.services ?? {}
  const now = clock.now()
  return {
    services: Object.fromEntries(Object.entries(services).map(([name, service]) =>
      [name, { objective: service.objective, ...parts.burn.getCounts(name, now) }]))
  }
}
