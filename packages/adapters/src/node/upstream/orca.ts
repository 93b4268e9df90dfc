/** Parses the load that a worker reports in its responses, in ORCA's `endpoint-load-metrics` header. */

/** Name of the response header, in lower case. */
export const LOAD_HEADER = 'endpoint-load-metrics'

/** A worker's load when it sent a response. */
export interface OrcaLoad {
  /** 0 is idle, 1 is fully loaded; may exceed 1. */
  readonly utilization: number
  /** Number of requests that the worker was running. */
  readonly inFlight?: number
}

type NumberFields = ReadonlyMap<string, number>

/** Flattened names of the utilization fields, in order of preference. */
const UTILIZATION_FIELDS = ['application_utilization', 'cpu_utilization']
const IN_FLIGHT_FIELD = 'named_metrics.in_flight'
const NAMED_METRICS_FIELD = 'named_metrics'

function addValidNumber (fields: Map<string, number>, name: string, value: unknown): void {
  if (typeof value === 'number' && Number.isFinite(value) && value >= 0) fields.set(name, value)
}

function parseJsonFormat (text: string): NumberFields {
  const fields = new Map<string, number>()
  const parsed: unknown = JSON.parse(text)
  if (typeof parsed !== 'object' || parsed === null) return fields
  for (const [name, value] of Object.entries(parsed)) {
    addValidNumber(fields, name, value)
    if (name !== NAMED_METRICS_FIELD || typeof value !== 'object' || value === null) continue
    for (const [metric, metricValue] of Object.entries(value)) addValidNumber(fields, `${NAMED_METRICS_FIELD}.${metric}`, metricValue)
  }
  return fields
}

function parseTextFormat (text: string): NumberFields {
  const fields = new Map<string, number>()
  for (const pair of text.split(',')) {
    const separator = pair.search(/[=:]/)
    if (separator < 0) continue
    const value = pair.slice(separator + 1).trim()
    if (value !== '') addValidNumber(fields, pair.slice(0, separator).trim(), Number(value))
  }
  return fields
}

const PARSER_BY_FORMAT: ReadonlyMap<string, (text: string) => NumberFields> = new Map([
  ['JSON', parseJsonFormat],
  ['TEXT', parseTextFormat]
])

function parseFields (header: string): NumberFields | undefined {
  const separator = header.indexOf(' ')
  if (separator < 0) return undefined
  const parse = PARSER_BY_FORMAT.get(header.slice(0, separator))
  try {
    return parse?.(header.slice(separator + 1))
  } catch {
    // Invalid JSON in this header must not make the caller's request fail.
    return undefined
  }
}

/**
 * @param headers the response headers, with names in lower case
 * @returns the reported load; undefined if it is missing or invalid
 */
export function parseOrcaLoad (headers: Readonly<Record<string, string | string[] | undefined>>): OrcaLoad | undefined {
  const header = [headers[LOAD_HEADER] ?? []].flat()[0]
  if (header === undefined) return undefined
  const fields = parseFields(header)
  const utilizationField = UTILIZATION_FIELDS.find((name) => fields?.has(name))
  if (fields === undefined || utilizationField === undefined) return undefined
  return { utilization: fields.get(utilizationField) ?? 0, inFlight: fields.get(IN_FLIGHT_FIELD) }
}
