/** Sends the process a hang-up signal while it loads its modules. */
type Resolve = (specifier: string, context: object) => Promise<object>

async function handleResolve (specifier: string, context: object, nextResolve: Resolve): Promise<object> {
  if (specifier.endsWith('/createEntry.js')) process.kill(process.pid, 'SIGHUP')
  return await nextResolve(specifier, context)
}

export { handleResolve as resolve }
