import { expect } from 'chai'
import type { ShardStatus, TaskStatus, Workload } from '@gypsumspring/protocol'
import { callControl } from '../callControl/index.ts'
import type { Cell, EntryVm } from '../startCell/index.ts'
import { checkInvariants, readShards, startTestCell, waitFor, waitUntilSettled } from './_support/cell.ts'
import { sendRequest } from './_support/LoadGenerator.ts'

/** Longer than the shard lease and the session TTL of the test cell, so that another process takes over meanwhile. */
const PAUSE_MS = 4000

/** Gate for which the tasks of the job wait, so that they run for as long as the test needs at any machine speed. */
const GATE = 'former-owner-resumed'

describe('a process paused beyond the end of its lease (SIGSTOP, SIGCONT)', () => {
  let cell: Cell

  before(async () => { cell = await startTestCell() })
  after(async () => { await cell?.stop() })

  function findVmOfScheduler (owner: string): EntryVm {
    const vm = cell.vms.find(({ id }) => owner === `scheduler-${id.slice('vm-'.length)}`)
    if (vm === undefined) throw new Error(`no VM runs ${owner}`)
    return vm
  }

  async function readShard (id: string): Promise<ShardStatus | undefined> {
    return (await readShards(cell)).find(({ shard }) => shard === id)
  }

  /** Lets the tasks on every other worker succeed, or on all. */
  async function openGate (share: 'half' | 'all'): Promise<void> {
    const step = share === 'half' ? 2 : 1
    for (const { ready } of cell.workers) {
      const ids = (ready['workers'] as string[]).filter((_id, index) => index % step === 0)
      await Promise.all(ids.map((id) => callControl(ready['url'], `workers/${id}/open-gate`, { gate: GATE })))
    }
  }

  it('starts no task twice after it resumes as the former owner of a shard, and is fenced (P1, P2)', async () => {
    await waitFor('every shard has an owner', async () => (await readShards(cell)).length === 3)
    const jobs: Workload[] = (cell.manifest.workloads ?? []).filter(({ kind }) => kind === 'batch')
      .map((workload) => ({ ...workload, id: `${workload.id}-paused`, tasks: 60, payload: { gate: GATE } }))
    const applied = await cell.applyManifest((manifest) => ({
      ...manifest, workloads: [...manifest.workloads ?? [], ...jobs]
    }))
    expect(applied.code, applied.stderr).to.equal(0)
    let busyShard: ShardStatus | undefined
    await waitFor('a shard runs the job', async () => {
      const isRunning = ({ workload, state }: TaskStatus) => workload === jobs[0]?.id && state === 'running'
      busyShard = (await readShards(cell)).find(({ tasks }) => tasks.some(isRunning))
      return busyShard !== undefined
    })
    const { scheduler } = findVmOfScheduler(busyShard!.owner)
    scheduler.pause()
    await Promise.all([openGate('half'), new Promise((resolve) => setTimeout(resolve, PAUSE_MS))])
    await waitFor('another owner took over', async () =>
      ((await readShard(busyShard!.shard))?.epoch ?? 0) > busyShard!.epoch)
    scheduler.resume()
    await openGate('all')
    await waitUntilSettled(cell, jobs)
    const after = await readShard(busyShard!.shard)
    expect(after?.epoch, 'another owner took over').to.be.above(busyShard!.epoch)
    await checkInvariants(cell)
  })

  it('as an entry responds late but never with the response to another request, and runs no request twice (P3, P5)', async () => {
    const vm = cell.vms[0]!
    const calls = Array.from({ length: 40 }, async (_value, index) => await sendRequest(
      `${vm.callerUrl}/e/origem/${index % 2 === 0 ? 'surnames' : 'lineage-reports'}/${index}`, `paused-${index}`,
      { method: index % 2 === 0 ? 'GET' : 'POST', headers: { 'gs-team': 'balcao', 'x-service-ms': '300' }, deadlineMs: 10_000 }))
    await new Promise((resolve) => setTimeout(resolve, 100))
    vm.entry.pause()
    await new Promise((resolve) => setTimeout(resolve, PAUSE_MS))
    vm.entry.resume()
    for (const { id, outcome, body } of await Promise.all(calls)) {
      expect(['answered', 'not-run', 'unknown'], id).to.include(outcome)
      if (outcome === 'answered') expect(JSON.parse(body).requestId, 'the response must belong to the request').to.equal(id)
      const { runs } = await callControl(cell.endpointsUrl, `requests/${id}`)
      const isRepeatable = Number(id.slice('paused-'.length)) % 2 === 0
      if (!isRepeatable) expect(runs.length, `runs of ${id}`).to.be.at.most(1)
      if (!isRepeatable && outcome === 'not-run') expect(runs.length, `P4: ${id} was reported as not run, but ran`).to.equal(0)
    }
    await checkInvariants(cell)
  })
})
