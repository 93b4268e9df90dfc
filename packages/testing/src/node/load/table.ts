/** Plain-text tables for reports. */

/** How a column is laid out. */
export interface Column<T> {
  readonly title: string
  /** @returns the cell's text */
  readonly format: (row: T) => string
}

const GAP = '  '

/**
 * @param columns the columns from left to right; the first is aligned left, the others right
 * @param rows what to show
 * @returns the lines of the table, header first
 */
export function formatTable<T> (columns: ReadonlyArray<Column<T>>, rows: readonly T[]): string[] {
  const cells = [columns.map(({ title }) => title), ...rows.map((row) => columns.map(({ format }) => format(row)))]
  const widths = columns.map((_, index) => Math.max(...cells.map((line) => (line[index] ?? '').length)))
  return cells.map((line) => formatLine(line, widths))
}

function formatLine (line: readonly string[], widths: readonly number[]): string {
  const padded = line.map((cell, index) => {
    const width = widths[index] ?? cell.length
    return index === 0 ? cell.padEnd(width) : cell.padStart(width)
  })
  return padded.join(GAP).trimEnd()
}
