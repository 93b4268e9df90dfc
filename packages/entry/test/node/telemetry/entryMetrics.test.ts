import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EntryMetrics } from '../../../src/node/telemetry/entryMetrics.js'

describe('the metrics of an entry process', () => {
  it('list the state of the VM before counters and histograms', async () => {
    // Guards against losing the state of a VM to a collector that keeps only the first four kilobytes of
    // each response: under load, the counters and histograms by service fill them, and the configuration
    // version and the age and source of the records were cut off when they were needed.
    const metrics = new EntryMetrics()
    for (const service of ['archive', 'desk', 'photos', 'visits']) {
      for (const end of ['answered', 'refused', 'failed', 'timed-out']) metrics.observeLatency(service, end, 100)
    }
    metrics.countSentRecordBytes(215_000)
    const text = await metrics.read({ readGauges: () => ({ configuration_version: 17, records_revision: 338 }), readRetryBudgets: () => [] })
    const findLine = (line: string): number => text.indexOf(line)
    for (const line of ['umberspar_configuration_version 17', 'umberspar_records_revision 338', 'umberspar_record_bytes_told_total 215000']) {
      assert.ok(findLine(line) >= 0 && findLine(line) < findLine('umberspar_requests_total'), line)
    }
  })
})
