import { expect } from 'chai'
import { callControl } from '../callControl/index.ts'
import type { Cell } from '../startCell/index.ts'
import { startTestCell } from './_support/cell.ts'
import { countOutcomes, LoadGenerator } from './_support/LoadGenerator.ts'

/** Time after which a drained runner gets no new requests; docs/design.md, section 8. */
const MAX_DRAIN_DELAY_MS = 5000

/** Time for the load to spread over the runners, in ms. */
const WARM_UP_MS = 2000

interface RunnerState { id: string, records: { runs: number, active: number } }

describe('a drained runner', () => {
  let cell: Cell

  before(async () => { cell = await startTestCell({ serviceMs: 20 }) })
  after(async () => { await cell?.stop() })

  async function readRunners (): Promise<RunnerState[]> {
    return await callControl(cell.endpointsUrl, 'runners') as RunnerState[]
  }

  it('gets no new requests after a few seconds, and its requests in flight are answered (P6)', async () => {
    const load = new LoadGenerator(cell, '/e/origem/surnames/bianchi', 4, { headers: { 'gs-team': 'balcao' } })
    // Drains the busiest runner. At a low load others get so few requests that a failed drain might go unnoticed.
    await new Promise((resolve) => setTimeout(resolve, WARM_UP_MS))
    const warm = await readRunners()
    const busiest = warm.reduce((best, { records }, index) => records.runs > warm[best]!.records.runs ? index : best, 0)
    const { code, stderr } = await cell.runCommand(['drain', 'origem', `origem-${busiest + 1}`])
    expect(code, stderr).to.equal(0)
    await new Promise((resolve) => setTimeout(resolve, MAX_DRAIN_DELAY_MS))
    const before = (await readRunners())[busiest]!
    await new Promise((resolve) => setTimeout(resolve, 3000))
    const after = (await readRunners())[busiest]!
    const results = await load.stop()
    expect(after.records.runs).to.equal(before.records.runs)
    expect(after.records.active).to.equal(0)
    expect(Object.keys(countOutcomes(results)), JSON.stringify(countOutcomes(results))).to.deep.equal(['answered'])
  })
})
