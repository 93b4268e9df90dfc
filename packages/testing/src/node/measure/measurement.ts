/** What every measurement is given and what it prints. */
import type { DeploymentName } from '../../common/load/mixes.js'
import type { PatternName } from '../../common/policy/loadPattern.js'
import type { PolicyName } from '../../common/policy/policies.js'
import type { Column } from '../load/table.js'
import { formatTable } from '../load/table.js'
import { printLine, writeLine } from '../terminal.js'

/** The options of `npm run measure -- NAME`. */
export interface MeasureOptions {
  readonly deployment: DeploymentName
  readonly seed: number
  /** How long each part measures. */
  readonly seconds: number
  /** Requests a second, where a measurement offers a fixed load. */
  readonly rate: number
  /** Sizes of fleet, where a measurement varies them. */
  readonly sizes: readonly number[]
  /** How many requests to send, where a measurement counts them. */
  readonly requests: number
  /** Load patterns and policies of the policy model. */
  readonly patterns: readonly PatternName[]
  readonly policies: readonly PolicyName[]
  /** How many seeds a figure is the mean of; undefined for the measurement's own. */
  readonly seeds?: number
}

/** One measurement. */
export interface Measurement {
  /** One line for `--help`. */
  readonly summary: string
  /** Requests a second if the command line names no rate; 200 if left out. */
  readonly defaultRate?: number
  /** @returns why the measurement is not valid, or undefined */
  run(options: MeasureOptions): Promise<string | undefined>
}

/** A figure for programs and people. */
export type FigureRow = Readonly<Record<string, string | number>>

const DIGITS = 3

function formatCell (value: string | number | undefined): string {
  if (typeof value !== 'number') return value ?? ''
  return Number.isInteger(value) ? String(value) : value.toFixed(DIGITS)
}

/**
 * Prints rows as JSON lines on standard output and as a table on standard error.
 * @param measurement the name that each JSON line carries
 * @param rows figures of one shape
 */
export function printFigures (measurement: string, rows: readonly FigureRow[]): void {
  const first = rows[0]
  if (first === undefined) return
  for (const row of rows) writeLine(JSON.stringify({ measurement, ...row }))
  const columns: Array<Column<FigureRow>> = Object.keys(first).map((title) => ({ title, format: (row) => formatCell(row[title]) }))
  for (const line of formatTable(columns, rows)) printLine(line)
}
