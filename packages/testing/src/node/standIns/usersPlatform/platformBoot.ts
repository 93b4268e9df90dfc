/** How the users' platform tells a process where its settings are. */

/**
 * @param file the settings file's path
 * @returns the variables of a process
 */
export function buildBootVariables (file: string): Record<string, string> {
  return { UMBERSPAR_BOOT: file }
}
