import { expect } from 'chai'
import type { Workload } from '@gypsumspring/protocol'
import { callControl } from '../callControl/index.ts'
import type { Cell, EntryVm } from '../startCell/index.ts'
import { checkInvariants, readShards, startTestCell, waitFor, waitUntilSettled } from './_support/cell.ts'
import { countOutcomes, LoadGenerator } from './_support/LoadGenerator.ts'

const ALLOWED_OUTCOMES = ['answered', 'not-run', 'unknown', 'broken']

describe('a process killed under load', () => {
  let cell: Cell

  before(async () => { cell = await startTestCell() })
  after(async () => { await cell?.stop() })

  /** Finds an entry VM that holds the slot allocator's lease of its failure domain according to its own status. */
  async function findAllocator (): Promise<EntryVm> {
    for (const vm of cell.vms) {
      const { stdout } = await cell.runCommand(['status', '--json'], vm)
      const { entry } = JSON.parse(stdout) as { entry: { allocator: { epoch?: number | null } } }
      if (typeof entry.allocator.epoch === 'number' && entry.allocator.epoch > 0) return vm
    }
    throw new Error('no entry VM is the slot allocator')
  }

  async function findShardOwner (): Promise<EntryVm> {
    await waitFor('every shard has an owner', async () => (await readShards(cell)).length === 3)
    const [shard] = await readShards(cell)
    const vm = cell.vms.find((candidate) => shard?.owner === `scheduler-${candidate.id.slice('vm-'.length)}`)
    if (vm === undefined) throw new Error(`no VM runs the shard's owner ${shard?.owner}`)
    return vm
  }

  const cases: Array<{ name: string, kill: () => Promise<void> }> = [
    { name: 'the entry that is the slot allocator', kill: async () => await (await findAllocator()).entry.kill() },
    { name: 'the scheduler that owns a shard', kill: async () => await (await findShardOwner()).scheduler.kill() }
  ]
  cases.forEach(({ name, kill }, index) => {
    it(`loses no accepted task and leaves no caller waiting: ${name}`, async () => {
      const jobs: Workload[] = (cell.manifest.workloads ?? []).filter(({ kind }) => kind !== 'service')
        .map((workload) => ({ ...workload, id: `${workload.id}-${index}` }))
      const applied = await cell.applyManifest((manifest) => ({
        ...manifest, workloads: [...(manifest.workloads ?? []).filter(({ kind }) => kind === 'service'), ...jobs]
      }))
      expect(applied.code, applied.stderr).to.equal(0)
      const load = new LoadGenerator(cell, '/e/origem/surnames/rossi', 10, { headers: { 'gs-team': 'balcao' } })
      await kill()
      await waitUntilSettled(cell, jobs)
      const results = await load.stop()
      const counts = countOutcomes(results)
      expect(ALLOWED_OUTCOMES, JSON.stringify(counts)).to.include.members(Object.keys(counts))
      expect(counts['answered'] ?? 0, JSON.stringify(counts)).to.be.above(results.length / 2)
      await checkInvariants(cell)
    })
  })

  it('leaves no caller waiting when all runners of the endpoint are killed at once', async () => {
    const load = new LoadGenerator(cell, '/e/origem/surnames/rossi', 10, { headers: { 'gs-team': 'balcao' } })
    await waitFor('requests are answered', async () => await countRuns() > 0)
    await cell.endpoints.kill()
    await new Promise((resolve) => setTimeout(resolve, 2000))
    const counts = countOutcomes(await load.stop())
    expect(ALLOWED_OUTCOMES, JSON.stringify(counts)).to.include.members(Object.keys(counts))
  })

  async function countRuns (): Promise<number> {
    const runners = await callControl(cell.endpointsUrl, 'runners') as Array<{ records: { runs: number } }>
    return runners.reduce((sum, { records }) => sum + records.runs, 0)
  }
})
