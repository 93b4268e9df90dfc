/** What a daemon predicts of a drain, and how it is shown. */
import type { PredictedPlace, PredictedStep } from '@umberspar/steering/common/plan/predictDrain'
import { isJsonObject } from './jsonValue.js'
import { Align, formatTable } from './tableFormat.js'

/** A daemon's prediction as the client shows it: of each reason only its sentence. */
export interface DrainPrediction {
  readonly fits: boolean
  /** Sentences that say why it does not fit. */
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
 * @returns the prediction, or undefined if it is none
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
 * @param prediction what a daemon said
 * @returns text for operators
 */
export function formatPrediction (prediction: DrainPrediction): string {
  const summary = prediction.fits ? `it fits; about ${prediction.totalMs} ms, plus requests that run longer` : 'it does not fit the present demand:'
  const steps = prediction.steps.length === 0 ? 'no traffic would move' : formatSteps(prediction)
  return [summary, ...prediction.reasons.map((reason) => `  ${reason}`), steps, formatPlaces(prediction)].join('\n')
}
