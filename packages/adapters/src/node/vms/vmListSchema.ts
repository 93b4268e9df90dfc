/** Schema of the platform's VM list on the wire. */
import { z } from 'zod'
import type { VmListSnapshot } from '@umberspar/steering/common/ports/vmList'
import { VmRole, VmState } from '@umberspar/steering/common/ports/vmList'

const vmEntrySchema = z.object({
  vmId: z.string().min(1),
  role: z.enum(VmRole),
  state: z.enum(VmState),
  region: z.string().min(1),
  failureDomain: z.string().min(1),
  address: z.string().min(1),
  peerAddress: z.string().min(1).optional(),
  operatorAddress: z.string().min(1).optional()
})

/** Validates a response of the platform; unknown fields are dropped. */
export const vmListSchema: z.ZodType<VmListSnapshot> = z.object({
  version: z.number().int().min(0),
  vms: z.array(vmEntrySchema)
})
