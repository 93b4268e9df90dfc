/**
 * Standard style, the order of the layers, the ports that alone may touch the
 * clock, randomness and the console, and the verbs a function may begin with.
 */
import neostandard from 'neostandard'
import tseslint from 'typescript-eslint'
import { builtinModules } from 'node:module'
import functionVerbs from './scripts/lint/functionVerbs.mjs'

const LAYERS = ['base', 'steering', 'adapters', 'entry', 'daemon', 'cli', 'testing', 'soak', 'users-platform']
/** What each package may import from; base sees nothing, testing sees all. */
const ALLOWED = {
  base: [],
  steering: ['base'],
  adapters: ['base', 'steering'],
  entry: ['base', 'steering'],
  daemon: ['base', 'steering', 'adapters'],
  cli: ['base', 'steering', 'adapters'],
  testing: ['base', 'steering', 'adapters', 'entry', 'daemon', 'cli', 'users-platform'],
  soak: ['base', 'entry', 'testing', 'users-platform'],
  'users-platform': ['base', 'steering', 'entry']
}

const nodeBuiltins = [...builtinModules, ...builtinModules.map((name) => `node:${name}`)]

function buildLayerRule (layer, isCommon) {
  const refused = LAYERS.filter((name) => name !== layer && !ALLOWED[layer].includes(name))
  const patterns = []
  if (refused.length > 0) {
    patterns.push({
      group: refused.flatMap((name) => [`@umberspar/${name}`, `@umberspar/${name}/**`]),
      message: `${layer} may import only from: ${ALLOWED[layer].join(', ') || 'nothing'}`
    })
  }
  if (isCommon) {
    patterns.push({ group: ['@umberspar/*/node/**', '**/node/**'], message: 'common/ may not import from node/' })
  }
  const paths = isCommon
    ? nodeBuiltins.map((name) => ({ name, message: 'common/ uses no Node API' }))
    : []
  return ['error', { paths, patterns }]
}

/** The users' platform stands at the root; everything else under packages/. */
function getFolder (layer) {
  return layer === 'users-platform' ? 'platform' : `packages/${layer}`
}

const layerConfigs = LAYERS.flatMap((layer) => [
  {
    files: [`${getFolder(layer)}/{src,test}/**/*.ts`],
    rules: { 'no-restricted-imports': buildLayerRule(layer, false) }
  },
  {
    files: [`${getFolder(layer)}/src/common/**/*.ts`],
    rules: {
      'no-restricted-imports': buildLayerRule(layer, true),
      'no-restricted-globals': ['error', 'process', 'Buffer', 'setTimeout', 'setInterval', 'setImmediate', 'require', '__dirname']
    }
  }
])

const refusedCalls = [
  { object: 'Date', property: 'now', message: 'take the time from IClock' },
  { object: 'Math', property: 'random', message: 'take randomness from IRandomSource' }
]

const CURRENT_DATE = { selector: "NewExpression[callee.name='Date'][arguments.length=0]", message: 'take the time from IClock' }
const SOCKET_RESET = { selector: "MemberExpression[property.name='resetAndDestroy']", message: 'use resetSocket: a reset of a connection that is being ended keeps the process from ending' }

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', '**/generated/**', 'docs/**', 'target/**', 'journal/**'] },
  ...neostandard({ ts: true }),
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    plugins: { umberspar: { rules: { 'function-verbs': functionVerbs } }, '@typescript-eslint': tseslint.plugin },
    rules: {
      'no-console': 'error',
      'no-restricted-properties': ['error', ...refusedCalls],
      'umberspar/function-verbs': 'error',
      'max-lines': ['error', { max: 300 }],
      'max-lines-per-function': ['error', { max: 60 }],
      complexity: ['error', 15],
      '@typescript-eslint/no-explicit-any': 'error',
      'no-restricted-syntax': ['error', CURRENT_DATE, SOCKET_RESET]
    }
  },
  ...layerConfigs,
  {
    files: ['packages/**/test/**/*.ts', 'platform/test/**/*.ts'],
    rules: { 'max-lines': ['error', { max: 400 }], 'max-lines-per-function': 'off', 'no-restricted-syntax': ['error', CURRENT_DATE] }
  },
  {
    files: ['packages/testing/src/node/resetSocket.ts'],
    rules: { 'no-restricted-syntax': ['error', CURRENT_DATE] }
  },
  {
    files: ['packages/base/src/node/systemClock.ts', 'packages/base/src/node/systemRandom.ts', 'packages/soak/src/node/entryPreload.ts'],
    rules: { 'no-restricted-properties': 'off' }
  },
  {
    files: ['packages/cli/src/node/terminal.ts', 'packages/testing/src/node/terminal.ts'],
    rules: { 'no-console': 'off' }
  }
]
