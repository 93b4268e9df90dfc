/** The faults that steps choose from. A list keeps its order and length, as recorded seeds refer to it. */
import { LinkFault } from '@umberspar/testing/node/standIns/tcpRelay'
import { ENDLESS_FRAMING_FAULTS, WorkerFault } from '@umberspar/testing/node/standIns/usersPlatform/workerFault'
import { StoreFault } from '@umberspar/testing/node/standIns/usersPlatform/recordStoreStandIn'
import { WorkerLinkFault } from '@umberspar/testing/node/standIns/usersPlatform/workerLink'

/** Responses that can't be forwarded. */
export const INVALID_RESPONSES: readonly WorkerFault[] = [
  WorkerFault.InvalidField,
  WorkerFault.InvalidFieldUnframed,
  WorkerFault.InvalidFieldName,
  ...ENDLESS_FRAMING_FAULTS,
  WorkerFault.EndlessBody,
  WorkerFault.EndlessFailure,
  WorkerFault.EndlessRefusal,
  WorkerFault.EndlessUnsealed,
  WorkerFault.EndlessLateExtra
]
/** Later than the recorded seeds. */
const ADDED_FAULTS: readonly WorkerFault[] = [WorkerFault.Stalled]
/** All other faults of workers. */
export const WORKER_FAULTS: readonly WorkerFault[] = Object.values(WorkerFault).filter((fault) => fault !== WorkerFault.None && !INVALID_RESPONSES.includes(fault) && !ADDED_FAULTS.includes(fault))
/** Texts that a foreign writer might store in place of a registration. */
export const FOREIGN_REGISTRATIONS = ['', 'not JSON', '[]', 'null', '{"Service":"archive"}', '{"Service":7,"Addr":"127.0.0.1:1","Zone":"north-1","Slots":-1,"State":"ready"}']
export const STORE_FAULTS = [StoreFault.Busy, StoreFault.TooMany, StoreFault.Reset, StoreFault.Silent, StoreFault.AnswerLost]
export const LINK_FAULTS = [LinkFault.Delay, LinkFault.Reset, LinkFault.CutThere, LinkFault.CutBack, LinkFault.Silence]
export const WORKER_LINK_FAULTS = Object.values(WorkerLinkFault).filter((fault) => fault !== WorkerLinkFault.None)
