/**
 * Bundles the entry process for the users' platform into one file under target/.
 * Resolving and reading hundreds of separate modules takes most of the time of a restart.
 */
import { build } from 'esbuild'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('..', import.meta.url))

/** Resolves the workspace's packages to their sources, so that they need not be compiled first. */
const workspaceSources = {
  name: 'workspace-sources',
  setup (bundle) {
    bundle.onResolve({ filter: /^@umberspar\// }, ({ path }) => {
      const [, name, ...rest] = path.split('/')
      return { path: `${root}packages/${name}/src/${rest.join('/')}.ts` }
    })
  }
}

/** The CommonJS build of ts-results hides its exports from bundlers; its other build has no default export. */
const resultsBuild = {
  name: 'results-build',
  setup (bundle) {
    bundle.onResolve({ filter: /^ts-results$/ }, () => ({ path: 'ts-results', namespace: 'results-build' }))
    bundle.onLoad({ filter: /.*/, namespace: 'results-build' }, () => ({
      contents: "import * as results from 'ts-results/esm/index.js'; export default results",
      resolveDir: root
    }))
  }
}

await build({
  absWorkingDir: root,
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/umberspar-entry.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  plugins: [workspaceSources, resultsBuild],
  // Bundled CommonJS libraries load Node.js modules by `require`, which ES modules lack.
  banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" },
  minify: true,
  legalComments: 'none',
  logLevel: 'warning'
})
