import { expect } from 'chai'
import { configurationOf, manifestOf } from '../testSupport/Cell.ts'
import { listEndpoints } from './index.ts'

describe('listEndpoints', () => {
  it('marks runners that are drained or whose VM is leaving, which get no new request', () => {
    const manifest = manifestOf()
    manifest.endpoints![0]!.runners[1]!.vm = 'vm-7'
    const configuration = configurationOf(manifest)
    const leaving = (vms: string[]) =>
      listEndpoints(configuration, new Set(vms))[0]!.runners.map((runner) => runner.leaving)
    expect(leaving([])).to.deep.equal([false, false])
    expect(leaving(['vm-7'])).to.deep.equal([false, true])
    configuration.index.operations.drainedRunners.push({ endpoint: 'origem', runner: 'a-home' })
    expect(leaving([])).to.deep.equal([true, false])
  })

  it('hands out no more slots than a runner accepts connections', () => {
    const manifest = manifestOf()
    manifest.endpoints![0]!.connectionsPerRunner = 2
    const [endpoint] = listEndpoints(configurationOf(manifest), new Set())
    expect(endpoint!.runners.map(({ slots }) => slots)).to.deep.equal([2, 2])
  })
})
