import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { it } from 'node:test'
import { VERBS } from '../lint/verbs.mjs'

/** A line of the list: `  - questions: ` and the verbs between backquotes. */
const VERB_LINE = /^ {2}- [a-z ]+: `([a-z ]+)`$/gm

it('docs/STYLE.md lists the verbs that lint accepts', () => {
  // A contributor picks a verb of the page and lint refuses it, since a verb
  // was added to or taken from only one of the two lists.
  const page = readFileSync(new URL('../../docs/STYLE.md', import.meta.url), 'utf8')
  const listed = [...page.matchAll(VERB_LINE)].flatMap(([, verbs]) => verbs.split(' '))
  assert.deepEqual(listed, VERBS)
})
