import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { it } from 'node:test'
import { VERBS } from '../lint/verbs.mjs'

/** A line of the list: the name of a group, such as `  - questions: `, followed by its verbs in backquotes. */
const VERB_LINE = /^ {2}- [a-z ]+: `([a-z ]+)`$/gm

it('docs/STYLE.md lists exactly the verbs that lint accepts', () => {
  // Guards against verbs that were added to or removed from only one of the two lists,
  // so that lint rejects a verb that the page allows.
  const page = readFileSync(new URL('../../docs/STYLE.md', import.meta.url), 'utf8')
  const listed = [...page.matchAll(VERB_LINE)].flatMap(([, verbs]) => verbs.split(' '))
  assert.deepEqual(listed, VERBS)
})
