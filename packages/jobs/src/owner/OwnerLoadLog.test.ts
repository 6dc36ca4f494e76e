import { install, type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { OwnerLoadLog } from './OwnerLoadLog.ts'

describe('OwnerLoadLog', () => {
  let clock: Clock
  let lines: Array<Record<string, unknown>>
  let recorded: string[]
  let cpuMs: number
  let load: OwnerLoadLog

  beforeEach(() => {
    clock = install()
    lines = []
    recorded = []
    cpuMs = 0
    load = new OwnerLoadLog(
      {
        count: (name) => { recorded.push(name) },
        recordDuration: (name) => { recorded.push(name) },
        set: (name) => { recorded.push(name) }
      },
      { info: (fields) => { lines.push(fields) }, warn: () => {} },
      { readCpuMs: () => cpuMs }
    )
  })
  afterEach(() => clock.uninstall())

  it('writes number, sum and maximum of each duration, and the processors in use, once a second', () => {
    for (const ms of [5, 20, 12]) load.recordDuration('commit_time', ms)
    clock.tick(500)
    load.tick(performance.now(), {})
    expect(lines).to.have.length(0)
    clock.tick(500)
    cpuMs = 250
    load.tick(performance.now(), { token: 3 })
    expect(lines).to.deep.equal([{ token: 3, processors: 0.25, durations: { commit_time: [3, 37, 20] } }])
  })

  it('counts from the last line', () => {
    load.recordDuration('commit_time', 5)
    clock.tick(1_000)
    load.tick(performance.now(), {})
    clock.tick(1_000)
    load.tick(performance.now(), {})
    expect(lines[1]).to.deep.equal({ processors: 0, durations: {} })
  })

  it('passes all metrics on', () => {
    load.count('starts')
    load.recordDuration('commit_time', 5)
    load.set('workers', 4)
    expect(recorded).to.deep.equal(['starts', 'commit_time', 'workers'])
  })
})
