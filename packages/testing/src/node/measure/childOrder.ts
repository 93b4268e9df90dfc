/** The child's side of `ChildProgram`: a module that serves one order when it runs as a program. */
import { fileURLToPath } from 'node:url'

/**
 * Serves one order if the module was started as a child; does nothing if it was
 * imported. The process ends with its parent's channel or on SIGTERM.
 * @param moduleUrl `import.meta.url` of the module
 * @param handle carries out the order; what it returns, if anything, is sent to the parent
 */
export function serveOneOrder<Order, Answer extends object | void> (moduleUrl: string, handle: (order: Order) => Promise<Answer>): void {
  if (process.send === undefined || process.argv[1] !== fileURLToPath(moduleUrl)) return
  process.on('disconnect', () => process.exit(0))
  process.once('message', async (order: Order) => {
    const answer = await handle(order)
    if (answer !== undefined) process.send?.(answer)
  })
}
