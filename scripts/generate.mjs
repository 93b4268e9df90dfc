/** Generates the gRPC code that is committed under packages/adapters/src/node/generated. */
import { spawnSync } from 'node:child_process'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('..', import.meta.url))
const result = spawnSync(`${root}/node_modules/.bin/buf`, ['generate'], {
  cwd: `${root}/packages/adapters`,
  stdio: 'inherit',
  env: { ...process.env, PATH: `${root}/node_modules/.bin:${process.env.PATH}` }
})
process.exit(result.status ?? 1)
