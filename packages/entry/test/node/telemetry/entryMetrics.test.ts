import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EntryMetrics } from '../../../src/node/telemetry/entryMetrics.js'

describe('the metrics of an entry process', () => {
  it('tell first what the VM knows, and then what it did', async () => {
    // A collector keeps the first four kilobytes of each answer. Under load, counters and
    // histograms by service fill them: which configuration a VM decided by, how old its
    // records were and from whom it had them was cut off, just when it was asked for.
    const metrics = new EntryMetrics()
    for (const service of ['archive', 'desk', 'photos', 'visits']) {
      for (const end of ['answered', 'refused', 'failed', 'timed-out']) metrics.observeLatency(service, end, 100)
    }
    metrics.countTold(215_000)
    const text = await metrics.read({ readGauges: () => ({ configuration_version: 17, records_revision: 338 }), readRepeatsLeft: () => [] })
    const findLine = (line: string): number => text.indexOf(line)
    for (const line of ['umberspar_configuration_version 17', 'umberspar_records_revision 338', 'umberspar_record_bytes_told_total 215000']) {
      assert.ok(findLine(line) >= 0 && findLine(line) < findLine('umberspar_requests_total'), line)
    }
  })
})
