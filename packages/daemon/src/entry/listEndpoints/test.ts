import { expect } from 'chai'
import { makeConfiguration, makeManifest } from '../testSupport/TestCell.ts'
import { listEndpoints } from './index.ts'

describe('listEndpoints', () => {
  it('marks runners as leaving if they are drained or their VM is leaving, so that they get no new requests', () => {
    const manifest = makeManifest()
    manifest.endpoints![0]!.runners[1]!.vm = 'vm-7'
    const configuration = makeConfiguration(manifest)
    const leaving = (vms: string[]) =>
      listEndpoints(configuration, new Set(vms))[0]!.runners.map((runner) => runner.leaving)
    expect(leaving([])).to.deep.equal([false, false])
    expect(leaving(['vm-7'])).to.deep.equal([false, true])
    configuration.index.operations.drainedRunners.push({ endpoint: 'origem', runner: 'a-home' })
    expect(leaving([])).to.deep.equal([true, false])
  })

  it('allocates no more slots than a runner accepts connections', () => {
    const manifest = makeManifest()
    manifest.endpoints![0]!.connectionsPerRunner = 2
    const [endpoint] = listEndpoints(makeConfiguration(manifest), new Set())
    expect(endpoint!.runners.map(({ slots }) => slots)).to.deep.equal([2, 2])
  })
})
