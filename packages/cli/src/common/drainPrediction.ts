/** Decodes and formats a daemon's prediction of the effect of a drain. */
import type { PredictedPlace, PredictedStep } from '@umberspar/steering/common/plan/predictDrain'
import { isJsonObject } from './jsonValue.js'
import { Align, formatTable } from './tableFormat.js'

/** A daemon's prediction, reduced to what the client shows: of each reason it keeps only the message. */
export interface DrainPrediction {
  /** Whether the remaining capacity is enough for the current demand. */
  readonly fits: boolean
  /** Messages that say for which services the capacity is not enough. */
  readonly reasons: readonly string[]
  readonly steps: readonly PredictedStep[]
  readonly places: readonly PredictedPlace[]
  readonly totalMs: number
}

const PERCENT_PER_UNIT = 100

function toObjects (value: unknown): Array<Record<string, unknown>> {
  return Array.isArray(value) ? value.filter((row): row is Record<string, unknown> => isJsonObject(row)) : []
}

/**
 * @param value a daemon's answer
 * @returns the prediction, or undefined if the answer is not one
 */
export function decodePrediction (value: unknown): DrainPrediction | undefined {
  if (!isJsonObject(value) || typeof value.fits !== 'boolean' || typeof value.totalMs !== 'number') return undefined
  return {
    fits: value.fits,
    totalMs: value.totalMs,
    reasons: toObjects(value.reasons).map(({ message }) => String(message)),
    steps: toObjects(value.steps).map(({ service, afterMs, shift }) => ({ service: String(service), afterMs: Number(afterMs), shift: Number(shift) })),
    places: toObjects(value.places).map((row) => ({
      service: String(row.service),
      failureDomain: String(row.failureDomain),
      capacity: Number(row.capacity),
      loadBefore: Number(row.loadBefore),
      loadAfter: Number(row.loadAfter),
      headroom: Number(row.headroom)
    }))
  }
}

function formatPercent (ratio: number): string {
  return `${(ratio * PERCENT_PER_UNIT).toFixed(0)} %`
}

function formatSteps (prediction: DrainPrediction): string {
  const columns = [{ title: 'AFTER', align: Align.Right }, { title: 'SERVICE' }, { title: 'MOVES', align: Align.Right }]
  return formatTable(columns, prediction.steps.map(({ afterMs, service, shift }) => [`${afterMs} ms`, service, formatPercent(shift)]))
}

function formatPlaces (prediction: DrainPrediction): string {
  const columns = [
    { title: 'SERVICE' }, { title: 'FAILURE DOMAIN' }, { title: 'CAPACITY', align: Align.Right },
    { title: 'NOW', align: Align.Right }, { title: 'THEN', align: Align.Right }, { title: 'HEADROOM', align: Align.Right }
  ]
  return formatTable(columns, prediction.places.map((place) => [
    place.service, place.failureDomain, String(place.capacity), place.loadBefore.toFixed(1), place.loadAfter.toFixed(1),
    place.capacity === 0 ? 'drained' : formatPercent(place.headroom)
  ]))
}

/**
 * @param prediction a daemon's prediction
 * @returns lines for operators: summary, reasons, steps and load by service and failure domain
 */
export function formatPrediction (prediction: DrainPrediction): string {
  const summary = prediction.fits ? `the remaining capacity is enough; the drain takes about ${prediction.totalMs} ms; requests that run longer add to it` : 'the remaining capacity is not enough for the current demand:'
  const steps = prediction.steps.length === 0 ? 'no traffic would move' : formatSteps(prediction)
  return [summary, ...prediction.reasons.map((reason) => `  ${reason}`), steps, formatPlaces(prediction)].join('\n')
}
