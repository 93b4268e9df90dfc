/**
 * Writes a copy of a site file with other delays, links, slots, workers, machines
 * and traffic, drawn from a seed: `node scripts/varySite.mjs SITE SEED FOLDER`. The
 * copy goes to a folder outside the repository; days are played on it to find what
 * holds on the known sites only. Its goals mean nothing, its rules do.
 */
import { copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { basename, dirname, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'
import { SeededRandom } from '@umberspar/base/common/random'

const USAGE = 'usage: node scripts/varySite.mjs SITE SEED FOLDER (FOLDER lies outside the repository)'
const root = fileURLToPath(new URL('..', import.meta.url))

/** What is varied: a field, the least and the most factor, whether it stays whole, and its least value. */
const VARIED = [
  { field: 'cross_region_ms', least: 0.5, most: 2.5 },
  { field: 'cross_zone_ms', least: 0.5, most: 6 },
  { field: 'client_ms', least: 0.5, most: 2 },
  { field: 'region_mbps', least: 0.6, most: 1.5 },
  { field: 'cpu_share', least: 0.7, most: 1.3 },
  { field: 'link_mbps', least: 0.3, most: 1 },
  { field: 'slots', least: 0.6, most: 1.8, isWhole: true, floor: 2 },
  { field: 'cold_per_s', least: 0.6, most: 1.5 },
  { field: 'idle_close_ms', least: 0.4, most: 1.5, isWhole: true, floor: 1_000 },
  { field: 'warm_keeps', least: 0.5, most: 1.5, isWhole: true, floor: 4 },
  { field: 'per_s', least: 0.5, most: 1 }
]

/**
 * @param {string} text a site file
 * @param {number} seed what the copy's figures are drawn from
 * @returns {string} the copy
 */
export function varySite (text, seed) {
  const random = new SeededRandom(seed)
  return VARIED.reduce((site, { field, least, most, isWhole = false, floor = 0 }) => {
    // One factor a field: the parts of a site stay in proportion.
    const factor = least + (most - least) * random.next()
    return site.replace(new RegExp(`(\\b${field} = )(\\d+(?:\\.\\d+)?)`, 'g'), (_whole, name, figure) => {
      const varied = Math.max(floor, Number(figure) * factor)
      if (isWhole) return `${name}${Math.round(varied)}`
      return `${name}${figure.includes('.') ? varied.toFixed(3) : Math.max(1, Math.round(varied))}`
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
  // Site files name this one beside them.
  copyFileSync(join(dirname(site), 'wire.json'), join(folder, 'wire.json'))
  process.stdout.write(`${file}\n`)
}

if (process.argv[1] === fileURLToPath(import.meta.url)) main(process.argv.slice(2))
