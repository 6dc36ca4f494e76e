import { IndexedPlacer } from '@gypsumspring/core'
import type { Workload } from '@gypsumspring/protocol'
import { expect } from 'chai'
import { pino } from 'pino'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xorshift128plus } from 'pure-rand/generator/xorshift128plus'
import { Metrics } from '../../metrics/index.ts'
import { SLOT, TestCell } from '../testSupport/index.ts'
import { QuotaClaims } from './index.ts'

const DOMAINS = ['a', 'b', 'c']
const FIRST_SEED = Number(process.env['QUOTA_SEED'] ?? 1)
const SEEDS = Number(process.env['QUOTA_SEEDS'] ?? 8)
const QUOTA = { ...SLOT, cpuMillis: 4_000, memoryMb: 4_000 }

function listTasks (workload: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `s/${workload}/${index}`)
}

/** Three shards of two workers each; a worker has room for two tasks. The quota covers the tasks of one shard. */
function buildCell (): TestCell {
  const cell = new TestCell(0)
  cell.quota = QUOTA
  for (const failureDomain of DOMAINS) {
    for (const index of [0, 1]) cell.addWorker(`${failureDomain}${index}`, failureDomain)
    for (const index of [0, 1]) cell.startProcess(`p${index}${failureDomain}`, { failureDomain })
  }
  return cell
}

describe('quota of a team over several shards', () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    it(`is never exceeded under takeovers and lost responses, and all work ends (seed ${seed})`, async () => {
      // Guards against shards that each use the whole quota, and claims lost with a failed write or an old owner.
      const cell = buildCell()
      const random = xorshift128plus(seed)
      const below = (limit: number): number => uniformInt(random, 0, limit - 1)
      const workloads: Array<Partial<Workload> & { id: string, tasks: number }> = []
      let count = 0
      try {
        await cell.run(3_000)
        for (let step = 0; step < 25; step++) {
          const [id, process] = [...cell.processes][below(cell.processes.size)]!
          const failureDomain = id.slice(-1)
          const faults = [
            () => {
              process.kill()
              cell.processes.delete(id)
              cell.startProcess(`n${count++}${failureDomain}`, { failureDomain })
            },
            () => process.pause(),
            () => process.resume(),
            () => { process.link('table').losesResponses = !process.link('table').losesResponses },
            () => cell.table.faults.set({ loseAnswers: below(50) / 100, delayMs: below(800) }),
            () => cell.table.faults.clear()
          ]
          if (below(2) === 0) faults[below(faults.length)]!()
          const kind = below(3) === 0 ? 'gang' as const : 'batch' as const
          const failureDomains = [DOMAINS[below(3)]!]
          const payload = { runMs: 1_000 + below(20_000) }
          workloads.push({ id: `x${step}`, kind, tasks: 1 + below(4), payload, failureDomains })
          cell.configure(workloads)
          await cell.run(below(8_000))
        }
        cell.table.faults.clear()
        for (const process of cell.processes.values()) {
          process.resume()
          process.links.clear()
        }
        const tasks = workloads.flatMap(({ id, tasks }) => listTasks(id, tasks))
        const unfinished = () => tasks.filter((task) => !cell.recordedSuccesses.has(task))
        await cell.runUntil(() => unfinished().length === 0 || cell.violations.length > 0, 900_000)
        expect(cell.violations).to.deep.equal([])
        expect(unfinished()).to.deep.equal([])
      } finally {
        cell.close()
      }
    })
  }

  describe('claims', () => {
    let cell: TestCell

    beforeEach(async () => {
      cell = buildCell()
      await cell.run(3_000)
    })

    afterEach(() => {
      cell.close()
      expect(cell.violations).to.deep.equal([])
    })

    const submit = (id: string, domain: string, changes: Partial<Workload> = {}) => (
      { id, failureDomains: [domain], payload: { runMs: 5_000 }, ...changes })
    const countQuotaWrites = (): () => number => {
      let count = 0
      cell.table.onWrite = ({ key }) => { if (key === 'quota/t') count++ }
      return () => count
    }

    it('are returned, so that gangs of two shards, each larger than the free quota, run in turn', async () => {
      // Guards against a deadlock in which each shard keeps a part of the quota that the other's gang waits for.
      const first = [submit('i', 'a', { tasks: 2 }), submit('j', 'b', { tasks: 2 })]
      cell.configure(first)
      await cell.run(3_000)
      expect(cell.runningTasks).to.have.length(4)
      const gangs = [submit('g', 'a', { kind: 'gang', tasks: 3 }), submit('h', 'b', { kind: 'gang', tasks: 3 })]
      cell.configure([...first, ...gangs])
      const tasks = [...listTasks('g', 3), ...listTasks('h', 3)]
      expect(await cell.runUntil(() => tasks.every((task) => cell.succeeded.has(task)), 120_000)).to.equal(true)
    })

    it('take few writes, and none while nothing changes', async () => {
      // Guards against a write for each task or sweep, which would be multiplied by 160 teams and 32 shards.
      const written = countQuotaWrites()
      cell.configure([submit('x', 'a', { kind: 'batch', tasks: 4, payload: {} })])
      await cell.run(30_000)
      expect(cell.runningTasks).to.have.length(4)
      const count = written()
      expect(count).to.be.within(1, 4)
      await cell.run(120_000)
      expect(written()).to.equal(count)
    })

    it('stay unchanged while the store is down, and pass to the next owner', async () => {
      // Guards against a new owner that assumes the whole quota is free, or loses the claim that its running tasks use.
      cell.configure([submit('x', 'a', { tasks: 3, payload: {} })])
      await cell.run(3_000)
      cell.table.faults.set({ down: true })
      await cell.run(15_000)
      for (const id of ['p0a', 'p1a']) cell.processes.get(id)!.kill()
      cell.startProcess('next', { failureDomain: 'a' })
      cell.table.faults.clear()
      cell.configure([submit('x', 'a', { tasks: 3, payload: {} }), submit('y', 'b', { tasks: 3, payload: {} })])
      await cell.run(60_000)
      expect(cell.runningTasks.filter((task) => task.startsWith('s/x/'))).to.have.length(3)
      expect(cell.runningTasks).to.have.length(4)
    })

    it('are not changed by a write of an owner that was fenced in the meantime', async () => {
      // Guards against a late return of a claim that the tasks of the next owner use.
      const key = 'shard/fenced'
      const { table } = cell
      const putOwner = async (value: number): Promise<number> => {
        const outcome = await table.transact({ checks: [], writes: [{ kind: 'put', key, value }] })
        return outcome.unsafeCoerce().versions[0]!
      }
      const rowVersion = await putOwner(1)
      const placer = new IndexedPlacer()
      placer.addWorker({ id: 'w', failureDomain: 'a', rack: 'r', capacity: QUOTA })
      placer.setQuotas(new Map([['t', QUOTA]]))
      const claims = new QuotaClaims({
        ownership: { shard: 'fenced', epoch: 1, rowVersion, ownedSince: 0 },
        table,
        placer,
        mayWrite: () => true,
        onChange: () => {},
        log: pino({ level: 'silent' }),
        metrics: new Metrics()
      })
      claims.setQuotas(new Map([['t', QUOTA]]))
      placer.submit({
        id: 'g',
        team: 't',
        kind: 'batch',
        priority: 'normal',
        spread: 'none',
        preemptible: false,
        resources: SLOT,
        tasks: ['g-0'],
        submittedAt: 0
      })
      const review = async (): Promise<unknown> => {
        placer.decide(performance.now(), 10)
        claims.update()
        await cell.run(1_000)
        return (await table.read('quota/t')).unsafeCoerce()?.value
      }
      const claimed = await review()
      expect(claimed).to.deep.equal({ claims: { fenced: SLOT } })
      placer.decide(performance.now(), 10)
      placer.release('g-0')
      await putOwner(2)
      for (let second = 0; second < 60; second++) expect(await review()).to.deep.equal(claimed)
      claims.close()
    })

    it('let no task start over a reduced quota until tasks of any shard have ended, and stop no task', async () => {
      // Guards against a shard that keeps using its old claim after the quota was reduced.
      const services = [submit('x', 'a', { tasks: 2, payload: {} }), submit('y', 'b', { tasks: 2 })]
      cell.configure(services)
      await cell.run(3_000)
      cell.quota = { ...QUOTA, cpuMillis: 3_000 }
      cell.configure([...services, submit('z', 'a', { tasks: 1 }), submit('v', 'c', { tasks: 1 })])
      await cell.run(1_000)
      expect(cell.runningTasks).to.deep.equal([...listTasks('x', 2), ...listTasks('y', 2)])
      await cell.run(40_000)
      expect([...cell.succeeded]).to.include.members([...listTasks('y', 2), 's/v/0', 's/z/0'])
      expect(cell.runningTasks).to.include.members(listTasks('x', 2))
    })

    it('are shown in the explanation of a task that waits for quota', async () => {
      // Guards against an explanation that does not distinguish this wait from missing capacity or an unplaceable task.
      cell.configure([submit('x', 'a', { tasks: 3, payload: {} })])
      await cell.run(3_000)
      const gang = submit('g', 'b', { kind: 'gang', tasks: 2, payload: {} })
      cell.configure([submit('x', 'a', { tasks: 3, payload: {} }), gang])
      await cell.run(3_000)
      const lines = await Promise.all(['p0b', 'p1b'].map(async (id) => await cell.processes.get(id)!.explain('s/g/0')))
      expect(lines.join()).to.include('waits for quota of its team').and.include('has claimed 0 processors')
      expect(lines.join()).to.not.include("can't be placed")
    })
  })
})
