import { expect } from 'chai'
import { callControl } from '../callControl/index.ts'
import type { Cell } from '../startCell/index.ts'
import { startTestCell, waitFor } from './_support/cell.ts'
import { countOutcomes, Load } from './_support/Load.ts'

/** Time after which a leaving runner gets no new request; docs/design.md, section 8. */
const DRAIN_LIMIT_MS = 5000

interface RunnerState { id: string, records: { runs: number, active: number } }

describe('a runner that leaves', () => {
  let cell: Cell

  before(async () => { cell = await startTestCell({ serviceMs: 20 }) })
  after(async () => { await cell?.stop() })

  async function readRunner (): Promise<RunnerState> {
    const [first] = await callControl(cell.endpointsUrl, 'runners') as RunnerState[]
    return first!
  }

  it('gets no new request a few seconds after it is drained, and its requests in flight finish (P6)', async () => {
    const load = new Load(cell, '/e/origem/surnames/bianchi', 4, { headers: { 'gs-team': 'balcao' } })
    await waitFor('the runner is used', async () => (await readRunner()).records.runs > 0)
    const { code, stderr } = await cell.runCommand(['drain', 'origem', 'origem-1'])
    expect(code, stderr).to.equal(0)
    await new Promise((resolve) => setTimeout(resolve, DRAIN_LIMIT_MS))
    const before = await readRunner()
    await new Promise((resolve) => setTimeout(resolve, 3000))
    const after = await readRunner()
    const results = await load.stop()
    expect(after.records.runs).to.equal(before.records.runs)
    expect(after.records.active).to.equal(0)
    expect(Object.keys(countOutcomes(results)), JSON.stringify(countOutcomes(results))).to.deep.equal(['answered'])
  })
})
