/** Spawns entry processes for the users' platform and finds addresses for their listeners. */
import { findFreeAddresses } from '../../deployment/freeAddresses.js'
import { ChildProgram, type ProgramOptions } from '../../measure/childProgram.js'
import type { EntryAddresses } from './platformRecords.js'

/** The entry program as it is built from these sources. */
export const ENTRY_PROGRAM = new URL(import.meta.resolve('@umberspar/users-platform/main'))
const HOSTS = 250
/** Differs between test processes, so that another one can't take the port of an entry process that is restarting. */
const ENTRY_HOST = `127.21.${process.pid % HOSTS + 1}.1`
const LISTENERS = 3

/**
 * @param store where the entry process reaches the store
 * @returns free addresses
 */
export async function findEntryAddresses (store: string): Promise<EntryAddresses> {
  const [callers = '', questions = '', metrics = ''] = await findFreeAddresses(ENTRY_HOST, LISTENERS)
  return { callers, questions, metrics, store }
}

/**
 * Starts an entry process as the platform does.
 * @param file the path of its settings file
 * @param options how else it is started
 * @param program the program; that of another build for comparisons
 */
export function spawnEntry (file: string, options: ProgramOptions = {}, program = ENTRY_PROGRAM): ChildProgram {
  return ChildProgram.spawn(program, [], { ...options, variables: { ...options.variables, UMBERSPAR_BOOT: file } })
}
