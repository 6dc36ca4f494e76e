import { expect } from 'chai'
import type { Workload } from '@gypsumspring/protocol'
import { callControl } from '../callControl/index.ts'
import type { Cell } from '../startCell/index.ts'
import { checkInvariants, readShards, startTestCell, waitFor, waitUntilSettled } from './_support/cell.ts'
import { sendRequest, countOutcomes, LoadGenerator, type RequestResult } from './_support/LoadGenerator.ts'

const headers = { 'gs-team': 'balcao' }

/** Longer than the shard lease and the task lease of the test cell. */
const OUTAGE_MS = 5000

describe('failures of the platform\'s store', () => {
  let cell: Cell

  before(async () => { cell = await startTestCell() })
  after(async () => { await cell?.stop() })

  async function sendNonRepeatable (id: string, index: number, attempt = 1): Promise<RequestResult> {
    const vm = cell.vms[index % cell.vms.length]
    return await sendRequest(`${vm?.callerUrl}/e/origem/lineage-reports`, id, {
      method: 'POST', headers: { ...headers, 'gs-attempt': String(attempt) }, deadlineMs: 5000
    })
  }

  async function countRuns (id: string): Promise<number> {
    const { runs } = await callControl(cell.endpointsUrl, `requests/${id}`)
    return runs.length
  }

  function copyBatchJobs (suffix: string): Workload[] {
    return (cell.manifest.workloads ?? []).filter(({ kind }) => kind === 'batch')
      .map((workload) => ({ ...workload, id: `${workload.id}-${suffix}` }))
  }

  it('do not affect look-ups and running tasks; requests that need a record are refused, and nothing is lost', async () => {
    const services = (cell.manifest.workloads ?? []).filter(({ kind }) => kind === 'service')
    await waitUntilSettled(cell, services)
    const before = (await readShards(cell)).flatMap(({ tasks }) => tasks).filter(({ kind }) => kind === 'service')
    const ran = await sendNonRepeatable('before-outage', 1)
    await callControl(cell.platformUrl, 'faults/all', { down: true })
    const retried = await sendNonRepeatable('before-outage', 2, 2)
    const load = new LoadGenerator(cell, '/e/origem/surnames/rossi', 20, { headers })
    const refused = await sendNonRepeatable('during-outage', 0)
    const applied = await cell.applyManifest()
    await new Promise((resolve) => setTimeout(resolve, OUTAGE_MS))
    const lookUps = await load.stop()
    await callControl(cell.platformUrl, 'clear', {})

    expect(countOutcomes(lookUps), 'look-ups').to.have.all.keys('answered')
    expect(refused.outcome, refused.body).to.equal('not-run')
    expect(ran.outcome, ran.body).to.equal('answered')
    expect(retried.outcome, 'P4: the request ran before the outage').to.equal('unknown')
    expect(await countRuns('during-outage'), 'P4: the request was reported as not run, but ran').to.equal(0)
    expect(applied.code, 'apply must exit with the code for unavailable').to.equal(6)
    await waitUntilSettled(cell, services)
    const after = (await readShards(cell)).flatMap(({ tasks }) => tasks).filter(({ kind }) => kind === 'service')
    const attempts = (rows: typeof before) => rows.map(({ task, attempt, worker }) => `${task} ${attempt} ${worker}`).sort()
    expect(attempts(after), 'service tasks must keep running on their workers').to.deep.equal(attempts(before))
    await waitFor('non-repeatable requests are answered again', async () =>
      (await sendNonRepeatable('after-outage', 0)).outcome === 'answered')
    await checkInvariants(cell)
  })

  it('run no request and no task twice when writes take effect but their responses are lost', async () => {
    await callControl(cell.platformUrl, 'faults/table', { loseAnswers: 0.3 })
    const jobs = copyBatchJobs('lossy')
    const manifest = { ...cell.manifest, workloads: [...cell.manifest.workloads ?? [], ...jobs] }
    await waitFor('the manifest is applied', async () => {
      const { code } = await cell.applyManifest(() => manifest)
      return code === 0
    })
    const ids = Array.from({ length: 40 }, (_value, index) => `lossy-${index}`)
    const first = await Promise.all(ids.map((id, index) => sendNonRepeatable(id, index)))
    const second = await Promise.all(ids.map((id, index) => sendNonRepeatable(id, index + 1, 2)))
    await waitUntilSettled(cell, jobs)
    await callControl(cell.platformUrl, 'clear', {})
    for (const [index, id] of ids.entries()) {
      const runs = await countRuns(id)
      expect(runs, `P5: runs of ${id}`).to.be.at.most(1)
      const results = [first[index], second[index]]
      const wasAnswered = results.some((result) => result?.outcome === 'answered')
      if (wasAnswered) expect(runs, `${id} was answered`).to.equal(1)
      if (results.every((result) => result?.outcome === 'not-run')) expect(runs, `P4: ${id} was reported as not run, but ran`).to.equal(0)
    }
    const answered = [...first, ...second].filter(({ outcome }) => outcome === 'answered').length
    expect(answered, JSON.stringify(countOutcomes([...first, ...second]))).to.be.above(ids.length)
    await checkInvariants(cell)
  })
})
