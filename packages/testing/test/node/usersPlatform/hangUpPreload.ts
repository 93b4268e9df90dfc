/** Loaded before an entry process's program: a signal comes while that loads. */
import { register } from 'node:module'

register('./hangUpHook.js', import.meta.url)
