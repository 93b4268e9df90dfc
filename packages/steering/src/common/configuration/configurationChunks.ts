/**
 * A configuration's body as content-addressed chunks under a tree of manifests.
 * A chunk's name is the digest of its text; a manifest lists the names of the
 * chunks below it and is cut into chunks itself when it grows long. So one
 * change gives new names to the chunks it touches and to one chunk of each
 * level above, and a node fetches just those that it lacks.
 */
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import type { Digester } from './canonicalJson.js'
import { type ChunkSizes, splitContent } from './contentChunks.js'

/** Names a body: all that a head has to carry of it. */
export interface ChunkManifest {
  /** How many times the names are to be resolved to get the body: 1 if they name chunks of the body itself. */
  readonly levels: number
  /** Digests of chunks, in the order of their texts. */
  readonly names: readonly string[]
}

/** A body in chunks. */
export interface ChunkedBody {
  readonly manifest: ChunkManifest
  /** The text of every chunk of every level, by name. */
  readonly textByName: ReadonlyMap<string, string>
}

/** Finds the text of a chunk that this node holds. */
export type FindChunk = (name: string) => string | undefined

const NAME_LENGTH = 16
/** Beyond so many names a manifest is cut into chunks. */
const MAX_NAMES = 64
/** Chosen by measuring what one change moves; see docs/design/configuration-chunks.md. */
const BODY_SIZES: ChunkSizes = { least: 512, usual: 2048, most: 16_384 }
/** About sixteen names; cut at any character, since only the joined text is read. */
const MANIFEST_SIZES: ChunkSizes = { least: 8 * NAME_LENGTH, usual: 16 * NAME_LENGTH, most: 64 * NAME_LENGTH }
/** No body needs more: sixteen names a chunk make 16^8 chunks. */
const MAX_LEVELS = 8

function addChunks (text: string, sizes: ChunkSizes, digester: Digester, textByName: Map<string, string>): string[] {
  return splitContent(text, sizes).map((chunk) => {
    const name = digester.computeDigest(chunk)
    textByName.set(name, chunk)
    return name
  })
}

/**
 * @param text the canonical JSON of a body
 * @param digester names the chunks
 * @returns the body in chunks
 */
export function splitBody (text: string, digester: Digester): ChunkedBody {
  const textByName = new Map<string, string>()
  let names = addChunks(text, BODY_SIZES, digester, textByName)
  let levels = 1
  while (names.length > MAX_NAMES) {
    names = addChunks(names.join(''), MANIFEST_SIZES, digester, textByName)
    levels++
  }
  return { manifest: { levels, names }, textByName }
}

/** The names of the level below, or those that are lacking. */
interface ResolvedLevel {
  readonly text: string
  readonly missing: readonly string[]
}

function findLevel (names: readonly string[], findChunk: FindChunk): ResolvedLevel {
  const texts: string[] = []
  const missing = new Set<string>()
  for (const name of names) {
    const text = findChunk(name)
    if (text === undefined) missing.add(name)
    else texts.push(text)
  }
  return { text: texts.join(''), missing: [...missing] }
}

function splitNames (text: string): string[] {
  return Array.from({ length: Math.ceil(text.length / NAME_LENGTH) }, (_, index) => text.slice(index * NAME_LENGTH, (index + 1) * NAME_LENGTH))
}

/** What a manifest leads to with the chunks that a node holds. */
export type AssembledBody =
  | { readonly isWhole: true, readonly text: string }
  /** The next chunks to fetch; when they are there, more may be found to lack. */
  | { readonly isWhole: false, readonly missing: readonly string[] }

/**
 * Puts a body together, or says which chunks to fetch next. At most as many
 * rounds of fetching as the manifest has levels lead to the whole.
 * @param manifest names the body
 * @param findChunk the chunks at hand; each must have been checked by `isChunkIntact`
 * @returns the body's text or the names lacking, or an error for a manifest that none of this software writes
 */
export function decodeBody (manifest: ChunkManifest, findChunk: FindChunk): Result<AssembledBody, StepError> {
  if (!Number.isInteger(manifest.levels) || manifest.levels < 1 || manifest.levels > MAX_LEVELS) return Err(createManifestError(manifest))
  let names = manifest.names
  for (let level = manifest.levels; ; level--) {
    const { text, missing } = findLevel(names, findChunk)
    if (missing.length > 0) return Ok({ isWhole: false, missing })
    if (level === 1) return Ok({ isWhole: true, text })
    names = splitNames(text)
  }
}

/**
 * A chunk cut off on its way would make a body that nobody accepted.
 * @param name the name by which it was asked for
 * @param text what came
 * @param digester names chunks
 * @returns whether the text is the chunk of this name
 */
export function isChunkIntact (name: string, text: string, digester: Digester): boolean {
  return digester.computeDigest(text) === name
}

/**
 * Lists all chunks that a body needs, so that others can be deleted.
 * @param manifest names the body
 * @param findChunk the chunks at hand, all of this body's among them
 * @returns the names, those of manifests included
 */
export function listChunkNames (manifest: ChunkManifest, findChunk: FindChunk): Set<string> {
  const all = new Set(manifest.names)
  let names: readonly string[] = manifest.names
  for (let level = manifest.levels; level > 1; level--) {
    names = splitNames(findLevel(names, findChunk).text)
    for (const name of names) all.add(name)
  }
  return all
}

function createManifestError (manifest: ChunkManifest): StepError {
  return new StepError({ code: ErrorCode.Invalid, step: 'decode-body', peer: 'local', message: `expected 1 to ${MAX_LEVELS} levels, got ${manifest.levels}` })
}
