import { expect } from 'chai'
import type { Workload } from '@gypsumspring/protocol'
import { callControl } from '../callControl/index.ts'
import type { Cell, EntryVm } from '../startCell/index.ts'
import { checkInvariants, readShards, startTestCell, waitFor, waitUntilSettled } from './_support/cell.ts'
import { countOutcomes, Load } from './_support/Load.ts'

const ALLOWED_OUTCOMES = ['answered', 'not-run', 'unknown', 'broken']

describe('a process killed under load', () => {
  let cell: Cell

  before(async () => { cell = await startTestCell() })
  after(async () => { await cell?.stop() })

  /** The entry that holds the slot allocator's lease of its domain, as its own status says. */
  async function findAllocator (): Promise<EntryVm> {
    for (const vm of cell.vms) {
      const { stdout } = await cell.runCommand(['status', '--json'], vm)
      const { entry } = JSON.parse(stdout) as { entry: { allocator: { epoch?: number | null } } }
      if (typeof entry.allocator.epoch === 'number' && entry.allocator.epoch > 0) return vm
    }
    throw new Error('no slot allocator found')
  }

  async function findShardOwner (): Promise<EntryVm> {
    await waitFor('every shard has an owner', async () => (await readShards(cell)).length === 3)
    const [shard] = await readShards(cell)
    const vm = cell.vms.find((candidate) => shard?.owner === `scheduler-${candidate.id.slice('vm-'.length)}`)
    if (vm === undefined) throw new Error(`owner ${shard?.owner} not found`)
    return vm
  }

  const cases: Array<{ name: string, kill: () => Promise<void> }> = [
    { name: 'the entry that is the slot allocator', kill: async () => await (await findAllocator()).entry.kill() },
    { name: 'the scheduler that owns a shard', kill: async () => await (await findShardOwner()).scheduler.kill() }
  ]
  cases.forEach(({ name, kill }, index) => {
    it(`loses no accepted task and hangs no caller: ${name}`, async () => {
      const jobs: Workload[] = (cell.manifest.workloads ?? []).filter(({ kind }) => kind !== 'service')
        .map((workload) => ({ ...workload, id: `${workload.id}-${index}` }))
      const applied = await cell.applyManifest((manifest) => ({
        ...manifest, workloads: [...(manifest.workloads ?? []).filter(({ kind }) => kind === 'service'), ...jobs]
      }))
      expect(applied.code, applied.stderr).to.equal(0)
      const load = new Load(cell, '/e/origem/surnames/rossi', 10, { headers: { 'gs-team': 'balcao' } })
      await kill()
      await waitUntilSettled(cell, jobs)
      const results = await load.stop()
      const counts = countOutcomes(results)
      expect(ALLOWED_OUTCOMES, JSON.stringify(counts)).to.include.members(Object.keys(counts))
      expect(counts['answered'] ?? 0, JSON.stringify(counts)).to.be.above(results.length / 2)
      await checkInvariants(cell)
    })
  })

  it('hangs no caller when every runner of the endpoint dies at once', async () => {
    const load = new Load(cell, '/e/origem/surnames/rossi', 10, { headers: { 'gs-team': 'balcao' } })
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
