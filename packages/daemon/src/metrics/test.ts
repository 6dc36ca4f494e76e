import { expect } from 'chai'
import { Metrics } from './index.ts'

describe('Metrics', () => {
  it('renders counters, gauges and duration summaries', async () => {
    const metrics = new Metrics()
    metrics.count('refusals', { reason: 'queue-full' })
    metrics.count('refusals', { reason: 'queue-full' })
    metrics.set('queue_length', 3)
    for (let ms = 1; ms <= 100; ms++) metrics.recordDuration('wait', ms)
    const text = await metrics.render()
    expect(text).to.include('gypsumspring_refusals_total{reason="queue-full"} 2')
    expect(text).to.include('gypsumspring_queue_length 3')
    expect(text).to.match(/gypsumspring_wait_seconds\{quantile="0.5"\} 0\.05/)
    expect(text).to.include('gypsumspring_wait_seconds_count 100')
    expect(metrics.percentile('wait', 99)).to.be.within(98, 100)
  })
})
