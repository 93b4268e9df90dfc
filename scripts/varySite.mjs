/**
 * Writes a variant of a site file, with delays, links, slots, workers, machines and
 * traffic varied at random by a seed: `node scripts/varySite.mjs SITE SEED FOLDER`.
 * The folder must be outside the repository. Simulated days on variants show which
 * behaviour holds on the known sites only. The goals in the site file don't apply to
 * a variant, but its rules do.
 */
import { copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { basename, dirname, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'
import { SeededRandom } from '@umberspar/base/common/random'

const USAGE = 'usage: node scripts/varySite.mjs SITE SEED FOLDER (FOLDER must be outside the repository)'
const root = fileURLToPath(new URL('..', import.meta.url))

/** The fields to vary, with the range of the factor, and optionally whether values are rounded to integers and their minimum. */
const VARIED_FIELDS = [
  { field: 'cross_region_ms', minFactor: 0.5, maxFactor: 2.5 },
  { field: 'cross_zone_ms', minFactor: 0.5, maxFactor: 6 },
  { field: 'client_ms', minFactor: 0.5, maxFactor: 2 },
  { field: 'region_mbps', minFactor: 0.6, maxFactor: 1.5 },
  { field: 'cpu_share', minFactor: 0.7, maxFactor: 1.3 },
  { field: 'link_mbps', minFactor: 0.3, maxFactor: 1 },
  { field: 'slots', minFactor: 0.6, maxFactor: 1.8, isInteger: true, minValue: 2 },
  { field: 'cold_per_s', minFactor: 0.6, maxFactor: 1.5 },
  { field: 'idle_close_ms', minFactor: 0.4, maxFactor: 1.5, isInteger: true, minValue: 1_000 },
  { field: 'warm_keeps', minFactor: 0.5, maxFactor: 1.5, isInteger: true, minValue: 4 },
  { field: 'per_s', minFactor: 0.5, maxFactor: 1 }
]

/**
 * @param {string} text the contents of a site file
 * @param {number} seed seed of the random factors
 * @returns {string} the contents of the variant
 */
export function varySite (text, seed) {
  const random = new SeededRandom(seed)
  return VARIED_FIELDS.reduce((site, { field, minFactor, maxFactor, isInteger = false, minValue = 0 }) => {
    // All occurrences of a field get the same factor, so that the parts of a site stay in proportion.
    const factor = minFactor + (maxFactor - minFactor) * random.next()
    return site.replace(new RegExp(`(\\b${field} = )(\\d+(?:\\.\\d+)?)`, 'g'), (_match, name, digits) => {
      const value = Math.max(minValue, Number(digits) * factor)
      if (isInteger) return `${name}${Math.round(value)}`
      return `${name}${digits.includes('.') ? value.toFixed(3) : Math.max(1, Math.round(value))}`
    })
  }, text)
}

function main ([site, seed, folder]) {
  if (site === undefined || folder === undefined || !Number.isInteger(Number(seed))) throw new Error(USAGE)
  if (resolve(folder).startsWith(root)) throw new Error(USAGE)
  mkdirSync(folder, { recursive: true })
  const name = basename(site, '.toml')
  const file = join(folder, `${name}-${seed}.toml`)
  writeFileSync(file, varySite(readFileSync(site, 'utf8'), Number(seed)))
  // Site files refer to this file in their own folder.
  copyFileSync(join(dirname(site), 'wire.json'), join(folder, 'wire.json'))
  process.stdout.write(`${file}\n`)
}

if (process.argv[1] === fileURLToPath(import.meta.url)) main(process.argv.slice(2))
