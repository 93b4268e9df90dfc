/**
 * Splits a configuration's body into content-addressed chunks under a tree of
 * manifests. A chunk's name is the digest of its text; a manifest lists the names
 * of the chunks below it and is split into chunks itself when it is long. A change
 * therefore renames only the chunks it touches and one chunk of each level above,
 * and a node fetches only the chunks that it does not have.
 */
import { ErrorCode, StepError } from '@umberspar/base/common/errors'
import { Err, Ok, type Result } from '@umberspar/base/common/result'
import type { Digester } from './canonicalJson.js'
import { type ChunkSizes, splitContent } from './contentChunks.js'

/** Identifies a body by the names of its chunks. */
export interface ChunkManifest {
  /** How many times names have to be resolved to get the body; 1 if they are names of chunks of the body itself. */
  readonly levels: number
  /** Names of chunks, in the order of their texts. */
  readonly names: readonly string[]
}

/** A body in chunks. */
export interface ChunkedBody {
  readonly manifest: ChunkManifest
  /** The texts of the chunks of all levels, by chunk name. */
  readonly textByName: ReadonlyMap<string, string>
}

/** Returns the text of a chunk, or undefined if this node does not have it. */
export type FindChunk = (name: string) => string | undefined

const NAME_LENGTH = 16
/** A manifest with more names is split into chunks. */
const MAX_MANIFEST_NAMES = 64
/** Sizes for which a single change transfers little data; see docs/design/configuration-chunks.md. */
const BODY_CHUNK_SIZES: ChunkSizes = { minLength: 512, targetLength: 2048, maxLength: 16_384 }
/** About sixteen names per chunk; a chunk may end within a name, since only the joined text is parsed. */
const MANIFEST_CHUNK_SIZES: ChunkSizes = { minLength: 8 * NAME_LENGTH, targetLength: 16 * NAME_LENGTH, maxLength: 64 * NAME_LENGTH }
/** Enough for any body: with sixteen names per chunk, eight levels address 16^8 chunks. */
const MAX_LEVELS = 8

function addChunks (text: string, sizes: ChunkSizes, digester: Digester, textByName: Map<string, string>): string[] {
  return splitContent(text, sizes).map((chunk) => {
    const name = digester.computeDigest(chunk)
    textByName.set(name, chunk)
    return name
  })
}

/**
 * Splits a body into chunks.
 * @param text the canonical JSON of a body
 * @param digester computes the names of the chunks
 * @returns the chunks and their manifest
 */
export function splitBody (text: string, digester: Digester): ChunkedBody {
  const textByName = new Map<string, string>()
  let names = addChunks(text, BODY_CHUNK_SIZES, digester, textByName)
  let levels = 1
  while (names.length > MAX_MANIFEST_NAMES) {
    names = addChunks(names.join(''), MANIFEST_CHUNK_SIZES, digester, textByName)
    levels++
  }
  return { manifest: { levels, names }, textByName }
}

/** The joined text of one level's chunks, and the names of chunks that were not found. */
interface ResolvedLevel {
  readonly text: string
  readonly missing: readonly string[]
}

function readLevel (names: readonly string[], findChunk: FindChunk): ResolvedLevel {
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

/** The body that results from the available chunks, or the names of missing chunks. */
export type AssembledBody =
  | { readonly isWhole: true, readonly text: string }
  /** The chunks to fetch next; chunks of lower levels may be missing too, but are only known afterwards. */
  | { readonly isWhole: false, readonly missing: readonly string[] }

/**
 * Assembles a body, or lists the chunks to fetch next. The body is complete after
 * at most as many rounds of fetching as the manifest has levels.
 * @param manifest identifies the body
 * @param findChunk finds an available chunk; each must have been checked by {@link isChunkIntact}
 * @returns the body's text or the names of missing chunks, or an error for a manifest with an invalid number of levels
 */
export function decodeBody (manifest: ChunkManifest, findChunk: FindChunk): Result<AssembledBody, StepError> {
  if (!Number.isInteger(manifest.levels) || manifest.levels < 1 || manifest.levels > MAX_LEVELS) return Err(createManifestError(manifest))
  let names = manifest.names
  for (let level = manifest.levels; ; level--) {
    const { text, missing } = readLevel(names, findChunk)
    if (missing.length > 0) return Ok({ isWhole: false, missing })
    if (level === 1) return Ok({ isWhole: true, text })
    names = splitNames(text)
  }
}

/**
 * Checks a received chunk: a truncated chunk would result in a configuration that
 * was never validated.
 * @param name the name of the requested chunk
 * @param text the received text
 * @param digester computes the names of chunks
 * @returns whether the text belongs to the chunk of this name
 */
export function isChunkIntact (name: string, text: string, digester: Digester): boolean {
  return digester.computeDigest(text) === name
}

/**
 * Lists all chunks that a body needs, so that others can be deleted.
 * @param manifest identifies the body
 * @param findChunk finds an available chunk; all chunks of this body must be available
 * @returns the names of all chunks, including those of manifests
 */
export function listChunkNames (manifest: ChunkManifest, findChunk: FindChunk): Set<string> {
  const allNames = new Set(manifest.names)
  let names: readonly string[] = manifest.names
  for (let level = manifest.levels; level > 1; level--) {
    names = splitNames(readLevel(names, findChunk).text)
    for (const name of names) allNames.add(name)
  }
  return allNames
}

function createManifestError (manifest: ChunkManifest): StepError {
  return new StepError({ code: ErrorCode.Invalid, step: 'decode-body', peer: 'local', message: `expected 1 to ${MAX_LEVELS} levels, got ${manifest.levels}` })
}
