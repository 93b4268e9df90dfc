/** Entry processes on the users' platform as programs of their own, and the addresses that they listen at. */
import { findFreeAddresses } from '../../deployment/freeAddresses.js'
import { ChildProgram, type ProgramOptions } from '../../measure/childProgram.js'
import type { EntryAddresses } from './platformRecords.js'

/** The entry program as it is built from these sources. */
export const ENTRY_PROGRAM = new URL(import.meta.resolve('@umberspar/users-platform/main'))
const HOSTS = 250
/** A host for the entry processes that this process starts: one side by side with it must not get the port of one that restarts. */
const ENTRY_HOST = `127.21.${process.pid % HOSTS + 1}.1`
const LISTENERS = 3

/**
 * @param store where the entry process reaches the store
 * @returns addresses that nobody listens at
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
