/** Selects test files by the words given to `npm test`. */

/** Compiled tests are in `dist`, but users name tests by the paths of their sources. */
const COMPILED_FOLDER = 'dist/'
const EXTENSION = /\.m?[jt]s$/

function toSourcePath (path) {
  return path.replaceAll('\\', '/').replace(COMPILED_FOLDER, '').replace(EXTENSION, '')
}

/**
 * @param file the path of a test file, compiled or not
 * @param words parts of paths, with or without `dist/` and the extension
 * @returns whether the file's path contains one of the words, or there are no words
 */
export function matchesWords (file, words) {
  const path = toSourcePath(file)
  return words.length === 0 || words.some((word) => path.includes(toSourcePath(word)))
}
