/** Collects series of points, fits a line to each, and keeps them as JSON lines and SVG plots in docs/plots. */
import { mkdir, writeFile } from 'node:fs/promises'
import { fileURLToPath } from 'node:url'
import { parse, View } from 'vega'
import { compile } from 'vega-lite'
import type { TopLevelSpec } from 'vega-lite'
import { printFigures } from '../measurement.js'
import type { FigureRow } from '../measurement.js'
import { computeLineFit } from './leastSquares.js'
import type { Point } from './leastSquares.js'

const PLOTS = fileURLToPath(new URL('../../../../../../../docs/plots/', import.meta.url))
const LEAST_POINTS = 3
const PLOT_SIZE = 260

/** One measured quantity against one size. */
export interface Series {
  readonly name: string
  /** What is counted along x. */
  readonly size: string
  /** What is measured, with its unit. */
  readonly quantity: string
  readonly points: readonly Point[]
}

/** The series of one measurement. */
export class ScaleReport {
  private readonly series: Series[] = []

  /** @param name of the measurement and of its files */
  constructor (private readonly name: string) {}

  /**
   * @param series a series with at least three points
   */
  add (series: Series): void {
    this.series.push(series)
  }

  /** Prints points and fits and writes both files. */
  async write (): Promise<void> {
    const points = this.series.flatMap(({ name, size, quantity, points: own }) => own.map(({ x, y }) => ({ series: name, size, quantity, x, y })))
    const fits = this.series.filter(({ points: own }) => own.length >= LEAST_POINTS).map(buildFitRow)
    printFigures(this.name, points)
    printFigures(`${this.name} fit`, fits)
    const lines = [...points.map((row) => ({ measurement: this.name, ...row })), ...fits.map((row) => ({ measurement: `${this.name} fit`, ...row }))]
    await mkdir(PLOTS, { recursive: true })
    await writeFile(`${PLOTS}${this.name}.jsonl`, `${lines.map((line) => JSON.stringify(line)).join('\n')}\n`)
    await writeFile(`${PLOTS}${this.name}.svg`, await this.buildPlot())
  }

  private async buildPlot (): Promise<string> {
    const spec: TopLevelSpec = {
      $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
      columns: 3,
      concat: this.series.map(buildChart),
      background: 'white'
    }
    const view = new View(parse(compile(spec).spec), { renderer: 'none' })
    return await view.toSVG()
  }
}

function buildFitRow ({ name, size, quantity, points }: Series): FigureRow {
  const { slope, intercept, r2, residual } = computeLineFit(points)
  return { series: name, quantity, per: size, slope, intercept, r2, residual, sizes: points.map(({ x }) => x).join(' ') }
}

/** One chart of a row of charts. */
type Chart = Extract<TopLevelSpec, { concat: unknown }>['concat'][number]

function buildChart ({ name, size, quantity, points }: Series): Chart {
  const { slope, intercept } = points.length < LEAST_POINTS ? { slope: 0, intercept: 0 } : computeLineFit(points)
  const line = points.map(({ x }) => ({ x, y: intercept + slope * x }))
  const encoding = {
    x: { field: 'x', type: 'quantitative' as const, title: size },
    y: { field: 'y', type: 'quantitative' as const, title: quantity }
  }
  return {
    title: name,
    width: PLOT_SIZE,
    height: PLOT_SIZE,
    data: { values: [...points] },
    layer: [
      { mark: 'point' as const, encoding },
      ...(points.length < LEAST_POINTS ? [] : [{ mark: 'line' as const, data: { values: line }, encoding }])
    ]
  }
}
