import { expect } from 'chai'
import { createLogger } from '../../logging/index.ts'
import { Metrics } from '../../metrics/index.ts'
import { loadSettings } from '../../settings/index.ts'
import { StatusServer } from './index.ts'

const { settings } = loadSettings(
  { role: 'scheduler', id: 's1', failureDomain: 'a', platformUrl: 'http://127.0.0.1:1' }, {}).unsafeCoerce()

describe('StatusServer', () => {
  const port = 20_000 + process.pid % 20_000
  const logger = createLogger({ id: 's1', logLevel: 'error' })
  const metrics = new Metrics()
  const configuration = { current: undefined, version: 0, subscribe: () => () => {} }
  const server = new StatusServer({ settings, logger, metrics, configuration })

  before(async () => {
    metrics.count('starts')
    await server.listen(port, '127.0.0.1')
  })
  after(async () => { await server.close() })

  const cases = [
    { name: 'serves metrics in the text format', path: '/metrics', status: 200, includes: 'gypsumspring_starts_total 1' },
    { name: 'reports that the process is alive', path: '/healthz', status: 200, includes: 'true' },
    { name: 'is not ready before a configuration is known', path: '/readyz', status: 503, includes: 'no configuration' },
    { name: 'rejects an unknown log level and lists the allowed ones', path: '/v1/log-level', method: 'PUT', body: 'loud', status: 400, includes: 'one of debug' },
    { name: 'changes the log level', path: '/v1/log-level', method: 'PUT', body: 'warn', status: 200, includes: 'warn' },
    { name: 'rejects an unknown path', path: '/x', status: 404, includes: 'unknown-path' }
  ]
  for (const { name, path, method = 'GET', body, status, includes } of cases) {
    it(name, async () => {
      const response = await fetch(`http://127.0.0.1:${port}${path}`, { method, body: body ?? null })
      expect(response.status).to.equal(status)
      expect(await response.text()).to.include(includes)
    })
  }
})
