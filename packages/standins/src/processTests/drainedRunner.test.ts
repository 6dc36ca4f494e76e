import { expect } from 'chai'
import { callControl } from '../callControl/index.ts'
import type { Cell } from '../startCell/index.ts'
import { startTestCell } from './_support/cell.ts'
import { countOutcomes, Load } from './_support/Load.ts'

/** Time after which a leaving runner gets no new request; docs/design.md, section 8. */
const DRAIN_LIMIT_MS = 5000

/** Time in which the load finds its runners, in ms. */
const WARM_UP_MS = 2000

interface RunnerState { id: string, records: { runs: number, active: number } }

describe('a runner that leaves', () => {
  let cell: Cell

  before(async () => { cell = await startTestCell({ serviceMs: 20 }) })
  after(async () => { await cell?.stop() })

  async function readRunners (): Promise<RunnerState[]> {
    return await callControl(cell.endpointsUrl, 'runners') as RunnerState[]
  }

  it('gets no new request a few seconds after it is drained, and its requests in flight finish (P6)', async () => {
    const load = new Load(cell, '/e/origem/surnames/bianchi', 4, { headers: { 'gs-team': 'balcao' } })
    // At a low load some runners are hardly used; the busiest one shows whether the drain works.
    await new Promise((resolve) => setTimeout(resolve, WARM_UP_MS))
    const warm = await readRunners()
    const busiest = warm.reduce((best, { records }, index) => records.runs > warm[best]!.records.runs ? index : best, 0)
    const { code, stderr } = await cell.runCommand(['drain', 'origem', `origem-${busiest + 1}`])
    expect(code, stderr).to.equal(0)
    await new Promise((resolve) => setTimeout(resolve, DRAIN_LIMIT_MS))
    const before = (await readRunners())[busiest]!
    await new Promise((resolve) => setTimeout(resolve, 3000))
    const after = (await readRunners())[busiest]!
    const results = await load.stop()
    expect(after.records.runs).to.equal(before.records.runs)
    expect(after.records.active).to.equal(0)
    expect(Object.keys(countOutcomes(results)), JSON.stringify(countOutcomes(results))).to.deep.equal(['answered'])
  })
})
