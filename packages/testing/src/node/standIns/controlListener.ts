/** The HTTP listener by which an operator of tests switches faults while the stand-ins run. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import polka from 'polka'
import type { IClosable } from '@umberspar/base/common/closing'
import type { Result } from '@umberspar/base/common/result'
import { Err, Ok } from '@umberspar/base/common/result'
import type { VmEntry } from '@umberspar/steering/common/ports/vmList'
import { VmState } from '@umberspar/steering/common/ports/vmList'
import type { HttpListener } from '../httpListener.js'
import { closeListener, startListener } from '../httpListener.js'
import { parseFaults } from './faultInput.js'
import { NO_KEY_VALUE_FAULTS } from './keyValue/keyValueFaults.js'
import type { PlatformStandIns } from './platformStandIns.js'
import type { FleetWorker } from './upstreamFleetStandIn.js'
import { NO_WORKER_FAULTS } from './upstream/workerFaults.js'
import { NO_VM_LIST_FAULTS } from './vmListStandIn.js'

/** What the control listener does once, beside faults that stay. */
export enum ControlAction {
  /** Switch every fault of the target off. */
  Clear = 'clear',
  /** Workers: refuse new work. */
  Drain = 'drain',
  /** Workers: take new work again. */
  Undrain = 'undrain',
  /** Workers: begin anew with cold caches. */
  Cold = 'cold',
  /** Store: break the open watches. */
  CutWatches = 'cut-watches',
  /** Store: forget the history up to now. */
  Compact = 'compact',
  /** Store: end every lease now. */
  LapseLeases = 'lapse-leases'
}

/** What `POST /v1/faults` takes. */
export interface ControlRequest {
  /** `store`, `vm-list`, `workers` (all), `worker:<id>`, `domain:<failure domain>` or `service:<service>`. */
  readonly target: string
  readonly fault?: unknown
  readonly action?: ControlAction
}

/** What `POST /v1/vms` takes: the whole list, or the state of one VM. */
export interface VmControlRequest {
  readonly vms?: readonly VmEntry[]
  readonly vmId?: string
  /** `live`, `leaving` or `removed`. */
  readonly state?: string
}

type Outcome = Result<void, string>
type ActionHandlers = Readonly<Partial<Record<ControlAction, () => void>>>

const REMOVED_STATE = 'removed'
const MAX_BODY_BYTES = 1_048_576

async function readJson (request: IncomingMessage): Promise<unknown> {
  const pieces: Buffer[] = []
  let bytes = 0
  for await (const piece of request) {
    bytes += (piece as Buffer).length
    if (bytes > MAX_BODY_BYTES) throw new Error('body is too large')
    pieces.push(piece as Buffer)
  }
  return JSON.parse(Buffer.concat(pieces).toString('utf8'))
}

function sendJson (response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(value))
}

/** Serves `GET /v1/state`, `POST /v1/faults` and `POST /v1/vms`. */
export class ControlListener implements IClosable {
  private listener: HttpListener | undefined

  constructor (private readonly standIns: PlatformStandIns) {}

  /**
   * @param address `host:port`
   * @returns the base URL
   */
  async start (address: string): Promise<string> {
    const app = polka()
    app.get('/v1/state', (_request, response) => sendJson(response, 200, this.buildState()))
    app.post('/v1/faults', (request, response) => { this.answer(request, response, (input) => this.applyControl(input as ControlRequest)) })
    app.post('/v1/vms', (request, response) => { this.answer(request, response, (input) => this.applyVms(input as VmControlRequest)) })
    this.listener = await startListener(app, address)
    return `http://${this.listener.address}`
  }

  /** Stops listening. */
  async close (): Promise<void> {
    const { listener } = this
    this.listener = undefined
    if (listener !== undefined) await closeListener(listener)
  }

  private async answer (request: IncomingMessage, response: ServerResponse, apply: (input: object) => Outcome): Promise<void> {
    try {
      const input = await readJson(request)
      const outcome = typeof input === 'object' && input !== null ? apply(input) : Err('expected an object')
      if (outcome.ok) sendJson(response, 200, this.buildState())
      else sendJson(response, 400, { error: outcome.val })
    } catch (failure) {
      sendJson(response, 400, { error: failure instanceof Error ? failure.message : String(failure) })
    }
  }

  private buildState (): object {
    const { store, vmList, fleet, addresses } = this.standIns
    const workers = fleet.listWorkers().map(({ workerId, address, worker }) => {
      return { workerId, address, gauges: worker.getGauges(), faults: worker.getFaults() }
    })
    return {
      addresses,
      store: { faults: store.getFaults(), calls: store.getCallCounts() },
      vmList: { faults: vmList.getFaults(), current: vmList.getCurrent(), visibleVersion: vmList.getVisible().version },
      workers
    }
  }

  private applyControl (request: ControlRequest): Outcome {
    const target = String(request.target)
    if (target === 'store') return this.applyToStore(request)
    if (target === 'vm-list') return this.applyToVmList(request)
    const members = this.listTargets(target)
    if (members.length === 0) return Err(`target: no stand-in is called '${target}'`)
    return this.applyToWorkers(request, members)
  }

  private listTargets (target: string): readonly FleetWorker[] {
    const [kind, ...rest] = target.split(':')
    const wanted = rest.join(':')
    const isWantedByKind: Readonly<Record<string, (member: FleetWorker) => boolean>> = {
      workers: () => true,
      worker: (member) => member.workerId === wanted,
      domain: (member) => member.failureDomain === wanted,
      service: (member) => member.service === wanted
    }
    const isWanted = isWantedByKind[kind ?? '']
    return isWanted === undefined ? [] : this.standIns.fleet.listWorkers().filter(isWanted)
  }

  private applyToStore (request: ControlRequest): Outcome {
    const { store } = this.standIns
    const fault = parseFaults(request.fault ?? {}, NO_KEY_VALUE_FAULTS)
    if (fault.err) return fault
    store.setFault(fault.val)
    return this.runAction(request.action, {
      [ControlAction.Clear]: () => store.clearFaults(),
      [ControlAction.CutWatches]: () => store.closeWatches(),
      [ControlAction.Compact]: () => { store.deleteHistory() },
      [ControlAction.LapseLeases]: () => store.closeLeases()
    })
  }

  private applyToVmList (request: ControlRequest): Outcome {
    const { vmList } = this.standIns
    const fault = parseFaults(request.fault ?? {}, NO_VM_LIST_FAULTS)
    if (fault.err) return fault
    vmList.setFaults(fault.val)
    return this.runAction(request.action, { [ControlAction.Clear]: () => vmList.clearFaults() })
  }

  private applyToWorkers (request: ControlRequest, members: readonly FleetWorker[]): Outcome {
    const fault = parseFaults(request.fault ?? {}, NO_WORKER_FAULTS)
    if (fault.err) return fault
    for (const { worker } of members) {
      worker.setFaults(fault.val)
      const done = this.runAction(request.action, {
        [ControlAction.Clear]: () => worker.clearFaults(),
        [ControlAction.Drain]: () => worker.startDrain(),
        [ControlAction.Undrain]: () => worker.stopDrain(),
        [ControlAction.Cold]: () => worker.startCold()
      })
      if (done.err) return done
    }
    return Ok(undefined)
  }

  private runAction (action: ControlAction | undefined, handlers: ActionHandlers): Outcome {
    if (action === undefined) return Ok(undefined)
    const handler = handlers[action]
    if (handler === undefined) return Err(`action: expected one of ${Object.keys(handlers).join(', ')}`)
    handler()
    return Ok(undefined)
  }

  private applyVms (request: VmControlRequest): Outcome {
    const { vmList } = this.standIns
    if (Array.isArray(request.vms)) {
      vmList.setVms(request.vms)
      return Ok(undefined)
    }
    const { vmId, state } = request
    const isKnown = vmList.getCurrent().vms.some((vm) => vm.vmId === vmId)
    if (vmId === undefined || !isKnown) return Err('vmId: expected the id of a listed VM')
    if (state === REMOVED_STATE) {
      vmList.removeVm(vmId)
      return Ok(undefined)
    }
    const known = Object.values(VmState).find((one) => one === state)
    if (known === undefined) return Err('state: expected live, leaving or removed')
    vmList.setVmState(vmId, known)
    return Ok(undefined)
  }
}
