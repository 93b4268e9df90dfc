/** Lint rule: the name of a function, method or function-valued variable must begin with a verb of the list. */
import { VERBS } from './verbs.mjs'

const verbs = new Set(VERBS)
/** Names prescribed by a library or the language. */
const EXTERNAL_NAMES = new Set(['constructor', 'main', 'describe', 'it', 'test', 'next', 'then', 'transform', 'flush', 'final', 'destroy', 'now'])

function getFirstWord (name) {
  return name.replace(/^[_#]+/, '').split(/(?=[A-Z0-9_])/)[0]
}

function checkName (context, node, name) {
  if (EXTERNAL_NAMES.has(name) || /^_(read|write|final|transform|flush|destroy)$/.test(name)) return
  if (/^[A-Z]/.test(name)) return
  if (verbs.has(getFirstWord(name))) return
  context.report({ node, message: `'${name}' does not begin with a verb listed in docs/STYLE.md` })
}

function isFunction (node) {
  return node?.type === 'ArrowFunctionExpression' || node?.type === 'FunctionExpression'
}

export default {
  meta: { type: 'suggestion', schema: [] },
  create (context) {
    return {
      FunctionDeclaration (node) { if (node.id) checkName(context, node.id, node.id.name) },
      MethodDefinition (node) {
        if (node.kind === 'method' && node.key.type === 'Identifier') checkName(context, node.key, node.key.name)
      },
      TSMethodSignature (node) { if (node.key.type === 'Identifier') checkName(context, node.key, node.key.name) },
      VariableDeclarator (node) {
        if (node.id.type === 'Identifier' && isFunction(node.init)) checkName(context, node.id, node.id.name)
      }
    }
  }
}
