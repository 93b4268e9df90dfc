/** How the words given to `npm test` choose test files. */

/** Compiled tests lie in `dist`; whoever names a test reads its path among the sources. */
const OUTPUT_FOLDER = 'dist/'
const EXTENSION = /\.m?[jt]s$/

function toSourcePath (path) {
  return path.replaceAll('\\', '/').replace(OUTPUT_FOLDER, '').replace(EXTENSION, '')
}

/**
 * @param file the path of a test file, compiled or not
 * @param words parts of paths, with or without `dist/` and the extension
 * @returns whether the file's path contains one of the words; always, if there are none
 */
export function matchesWords (file, words) {
  const path = toSourcePath(file)
  return words.length === 0 || words.some((word) => path.includes(toSourcePath(word)))
}
