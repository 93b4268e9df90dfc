/** Keeps a processor busy until it is killed or its parent ends. */
const CHECK_INTERVAL_MS = 100

process.on('disconnect', () => { process.exit() })

function keepBusy (): void {
  const until = performance.now() + CHECK_INTERVAL_MS
  while (performance.now() < until);
  setImmediate(keepBusy)
}

keepBusy()
