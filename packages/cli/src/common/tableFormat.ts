/** Formats plain-text tables, with columns padded to their widest cell. */

/** The alignment of a column's cells. */
export enum Align {
  Left = 'left',
  Right = 'right'
}

/** A column's heading and alignment. */
export interface Column {
  readonly title: string
  readonly align?: Align
}

const COLUMN_SEPARATOR = '  '

const PAD_BY_ALIGN: Readonly<Record<Align, (cell: string, width: number) => string>> = {
  [Align.Left]: (cell, width) => cell.padEnd(width),
  [Align.Right]: (cell, width) => cell.padStart(width)
}

/**
 * @param columns headings and alignments
 * @param rows the cells of each row, one for each column
 * @returns the heading and the rows as lines, without trailing spaces
 */
export function formatTable (columns: readonly Column[], rows: ReadonlyArray<readonly string[]>): string {
  const widths = columns.map((column, index) => Math.max(column.title.length, ...rows.map((row) => row[index]?.length ?? 0)))
  const formatRow = (cells: readonly string[]): string => columns
    .map((column, index) => PAD_BY_ALIGN[column.align ?? Align.Left](cells[index] ?? '', widths[index] ?? 0))
    .join(COLUMN_SEPARATOR)
    .trimEnd()
  return [columns.map((column) => column.title), ...rows].map(formatRow).join('\n')
}
