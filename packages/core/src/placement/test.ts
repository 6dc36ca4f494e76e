import { expect } from 'chai'
import type { PlacementDecision, Placer, TaskGroup } from '../types.ts'
import { IDLE_DELAY_SHARE, PROBE_DELAY_MS } from './constants/index.ts'
import { IndexedPlacer } from './indexed/IndexedPlacer.ts'
import { NaivePlacer } from './naive/NaivePlacer.ts'

const CORE = { cpuMillis: 1000, memoryMb: 1024, accelerators: 0 }

const cores = (count: number): TaskGroup['resources'] => ({ ...CORE, cpuMillis: 1000 * count })

function buildGroup (id: string, tasks: number, changes: Partial<TaskGroup> = {}): TaskGroup {
  return {
    id,
    team: 'a',
    kind: 'batch',
    priority: 'normal',
    spread: 'none',
    preemptible: false,
    resources: CORE,
    tasks: Array.from({ length: tasks }, (_, index) => `${id}-${index}`),
    submittedAt: 0,
    ...changes
  }
}

const startedTasks = (decisions: PlacementDecision[]): string[] =>
  decisions.flatMap((decision) => decision.kind === 'place' ? decision.placements.map(({ task }) => task) : [])
const usedWorkers = (decisions: PlacementDecision[]): string[] =>
  decisions.flatMap((decision) => decision.kind === 'place' ? decision.placements.map(({ worker }) => worker) : [])

for (const Implementation of [IndexedPlacer, NaivePlacer]) {
  describe(`${Implementation.name} policies`, () => {
    let placer: Placer
    const addWorkers = (count: number, cpus: number, changes = {}): void => {
      for (let index = 0; index < count; index++) {
        placer.addWorker({
          id: `w${index}`, failureDomain: `d${index % 2}`, rack: `r${index % 3}`, capacity: { ...cores(cpus), memoryMb: 1e6 }, ...changes
        })
      }
    }
    const submit = (...groups: TaskGroup[]): void => { for (const group of groups) placer.submit(group) }

    beforeEach(() => {
      placer = new Implementation()
      placer.setPackingWeight(0)
    })

    const impossible = [
      { name: 'a task larger than any worker', group: buildGroup('g', 1, { resources: cores(5) }), reason: 'more than any worker' },
      { name: 'a gang larger than the cell', group: buildGroup('g', 9, { kind: 'gang' }), reason: 'together hold 8' },
      { name: 'a gang over the whole quota', group: buildGroup('g', 4, { kind: 'gang' }), reason: 'whole quota of team a' },
      { name: 'an unknown failure domain', group: buildGroup('g', 1, { failureDomains: ['nowhere'] }), reason: 'nowhere' }
    ]
    for (const { name, group, reason } of impossible) {
      it(`rejects ${name} as impossible at once, ahead of work of higher classes`, () => {
        // Guards against a group that can never run but waits forever, or keeps a reservation that others need.
        addWorkers(2, 4)
        placer.setQuotas(new Map([['a', { ...cores(name.includes('quota') ? 3 : 100), memoryMb: 1e6 }]]))
        submit(buildGroup('first', 1, { priority: 'urgent' }), { ...group, priority: 'low' })
        const [decision] = placer.decide(1, 1)
        expect(decision).to.include({ kind: 'impossible', group: 'g' })
        expect(decision).to.have.property('reason').that.includes(reason)
        expect(startedTasks(placer.decide(1, 10))).to.deep.equal(['first-0'])
      })
    }

    it('starts a gang behind small work by a reservation that only short work may use', () => {
      // Guards against starvation: small tasks take each core that becomes free before enough are free for the gang.
      addWorkers(1, 4)
      submit(buildGroup('running', 4, { estimatedRunMs: 1000 }))
      placer.decide(0, 10)
      submit(buildGroup('gang', 4, { kind: 'gang', submittedAt: 1 }))
      placer.decide(1, 10)
      placer.release('running-0')
      submit(buildGroup('long', 4, { estimatedRunMs: 5000, submittedAt: 2 }))
      submit(buildGroup('short', 1, { estimatedRunMs: 100, submittedAt: 2 }))
      expect(startedTasks(placer.decide(2, 10))).to.deep.equal(['short-0'])
      for (const task of ['short-0', 'running-1', 'running-2', 'running-3']) placer.release(task)
      expect(startedTasks(placer.decide(1000, 1))).to.have.lengthOf(4).and.include('gang-0')
    })

    it('starts two gangs that each need more than half of the cell one after the other', () => {
      // Guards against deadlock: each gang would hold a part of the capacity that the other needs.
      addWorkers(2, 4)
      submit(buildGroup('one', 6, { kind: 'gang', estimatedRunMs: 10 }), buildGroup('two', 6, { kind: 'gang', estimatedRunMs: 10 }))
      expect(startedTasks(placer.decide(1, 10))).to.have.lengthOf(6).and.include('one-0')
      for (let index = 0; index < 6; index++) placer.release(`one-${index}`)
      expect(startedTasks(placer.decide(20, 10))).to.have.lengthOf(6).and.include('two-0')
    })

    it('blocks small work of a team while a gang of the team waits for quota', () => {
      // Guards against starvation: each core of quota that becomes free would go to the next small task of the team.
      addWorkers(1, 9)
      placer.setQuotas(new Map([['a', { ...cores(4), memoryMb: 1e6 }]]))
      submit(buildGroup('running', 4))
      placer.decide(0, 10)
      submit(buildGroup('gang', 4, { kind: 'gang', submittedAt: 1 }), buildGroup('small', 9, { submittedAt: 2 }))
      placer.release('running-0')
      expect(placer.decide(3, 10)).to.deep.equal([])
      for (let index = 1; index < 4; index++) placer.release(`running-${index}`)
      expect(startedTasks(placer.decide(4, 1))).to.include('gang-0')
    })

    it('waits while the claim is too small, and blocks other work only while the claim may grow enough', () => {
      // Guards against rejecting a gang as impossible because the claim is too small, and against small work that waits
      // for a gang whose quota is used by other shards.
      addWorkers(1, 9)
      const whole = (count: number) => ({ ...cores(count), memoryMb: 1e6 })
      placer.setQuotas(new Map([['a', whole(6)]]))
      placer.setClaims(new Map())
      submit(buildGroup('gang', 5, { kind: 'gang' }), buildGroup('small', 2, { submittedAt: 1 }))
      expect(placer.decide(1, 10)).to.deep.equal([])
      placer.setClaims(new Map([['a', { claimed: whole(2), maxClaim: whole(5) }]]))
      expect(placer.decide(2, 10)).to.deep.equal([])
      expect(placer.explain('gang-0', 2).join()).to.include('has claimed 2 processors')
      expect(placer.listQuotaDemands().get('a')?.needs.map(({ tasks, allOrNothing: whole }) => ({ tasks, whole })))
        .to.deep.equal([{ tasks: 5, whole: true }, { tasks: 2, whole: false }])
      placer.setClaims(new Map([['a', { claimed: whole(2), maxClaim: whole(4) }]]))
      expect(startedTasks(placer.decide(3, 10))).to.deep.equal(['small-0', 'small-1'])
      placer.setClaims(new Map([['a', { claimed: whole(7), maxClaim: whole(7) }]]))
      expect(placer.decide(4, 10)).to.deep.equal([])
      placer.release('small-0')
      expect(startedTasks(placer.decide(5, 10))).to.have.lengthOf(5).and.include('gang-0')
    })

    it('shares a class between teams and serves classes in order', () => {
      // Guards against the team that submits first or most taking the whole cell.
      addWorkers(1, 6)
      submit(buildGroup('flood', 50), buildGroup('few', 3, { team: 'b', submittedAt: 5 }), buildGroup('top', 1, { priority: 'high', submittedAt: 9 }))
      const started = startedTasks(placer.decide(10, 100))
      expect(started[0]).to.equal('top-0')
      expect(started.filter((task) => task.startsWith('few'))).to.have.lengthOf(3)
    })

    it('preempts the fewest and cheapest victims and reserves what they free for the urgent group', () => {
      // Guards against stopping more tasks than needed, and against freed capacity that goes to other groups.
      addWorkers(2, 4)
      submit(buildGroup('big', 1, { resources: cores(4), preemptible: true, priority: 'high' }))
      submit(buildGroup('small', 4, { preemptible: true, priority: 'low' }))
      placer.decide(0, 10)
      submit(buildGroup('two', 1, { resources: cores(2), priority: 'urgent', submittedAt: 5 }))
      expect(placer.decide(10, 10)).to.deep.equal([{ kind: 'preempt', group: 'two', victims: ['big-0'] }])
      submit(buildGroup('other', 9, { submittedAt: 11 }))
      placer.release('big-0')
      placer.requeue('big-0', 20)
      const decisions = placer.decide(20, 10)
      expect(startedTasks(decisions)).to.deep.equal(['two-0', 'other-0', 'other-1'])
    })

    it('chooses other victims when the first ones do not stop in time', () => {
      // Guards against urgent work that waits forever for a victim on an unresponsive worker.
      addWorkers(2, 1)
      submit(buildGroup('small', 2, { preemptible: true }))
      placer.decide(0, 10)
      submit(buildGroup('now', 1, { priority: 'urgent' }))
      const [first] = placer.decide(10, 10)
      const [second] = placer.decide(20_000, 10)
      expect([first, second].map((decision) => decision?.kind)).to.deep.equal(['preempt', 'preempt'])
      expect(first).to.not.deep.equal(second)
    })

    it('spreads a group over racks before it packs', () => {
      // Guards against best fit placing all replicas in one rack.
      addWorkers(6, 4)
      submit(buildGroup('g', 6, { kind: 'service', spread: 'rack' }))
      const racks = usedWorkers(placer.decide(1, 10)).map((worker) => Number(worker.slice(1)) % 3)
      expect(racks.sort()).to.deep.equal([0, 0, 1, 1, 2, 2])
    })

    it('excludes a worker that fails all groups, probes it later and includes it again', () => {
      // Guards against a worker that attracts work because it fails fast, and against excluding it permanently.
      addWorkers(2, 1)
      placer.setWorkerAvailable('w1', false)
      for (let index = 0; index < 3; index++) {
        submit(buildGroup(`f${index}`, 1))
        placer.decide(index, 10)
        placer.recordOutcome(`f${index}-0`, 'w0', { succeeded: false, runMs: 1 })
        placer.release(`f${index}-0`)
      }
      submit(buildGroup('next', 1))
      expect(placer.decide(10, 10)).to.deep.equal([])
      expect(usedWorkers(placer.decide(100_000, 10))).to.deep.equal(['w0'])
      placer.recordOutcome('next-0', 'w0', { succeeded: true, runMs: 1 })
      placer.release('next-0')
      submit(buildGroup('last', 1))
      expect(usedWorkers(placer.decide(100_001, 10))).to.deep.equal(['w0'])
    })

    it('includes an excluded worker again for a gang when nothing else probes it', () => {
      // Guards against a gang that waits forever: gangs do not probe workers, and only a gang may need this one.
      addWorkers(1, 2)
      for (let index = 0; index < 3; index++) {
        submit(buildGroup(`f${index}`, 1))
        placer.decide(0, 10)
        placer.recordOutcome(`f${index}-0`, 'w0', { succeeded: false, runMs: 1 })
        placer.release(`f${index}-0`)
      }
      submit(buildGroup('gang', 2, { kind: 'gang' }))
      const started = [1, 2, 3, 4].flatMap((minutes) => startedTasks(placer.decide(minutes * PROBE_DELAY_MS, 10)))
      expect(started).to.deep.equal(['gang-0', 'gang-1'])
    })

    it('tries a failed task on another worker first', () => {
      // Guards against a broken worker using up all retries of a task because, being empty, it stays the best fit.
      addWorkers(2, 1)
      submit(buildGroup('g', 1))
      const [first] = usedWorkers(placer.decide(0, 1))
      placer.recordOutcome('g-0', first!, { succeeded: false, runMs: 1 })
      placer.release('g-0')
      placer.requeue('g-0', 1)
      const [second] = usedWorkers(placer.decide(1, 1))
      expect(second).to.be.a('string').and.not.equal(first)
      placer.recordOutcome('g-0', second!, { succeeded: false, runMs: 1 })
      placer.release('g-0')
      placer.requeue('g-0', 2)
      placer.setWorkerAvailable(first!, false)
      expect(usedWorkers(placer.decide(2, 1))).to.deep.equal([second])
    })

    it('does not exclude workers for one group that fails everywhere', () => {
      // Guards against a faulty job that gets one worker after the other excluded.
      addWorkers(4, 1)
      submit(buildGroup('bad', 1))
      for (let attempt = 0; attempt < 20; attempt++) {
        const [worker] = usedWorkers(placer.decide(attempt, 10))
        placer.recordOutcome('bad-0', worker!, { succeeded: false, runMs: 1 })
        placer.setWorkerAvailable(worker!, false)
        placer.release('bad-0')
        placer.requeue('bad-0', attempt)
        if (attempt % 4 === 3) for (let index = 0; index < 4; index++) placer.setWorkerAvailable(`w${index}`, true)
      }
      placer.cancel('bad')
      submit(buildGroup('good', 4))
      expect(startedTasks(placer.decide(30, 10))).to.have.lengthOf(4)
    })

    it('admits work to reserved capacity by its learned run time, not the declared one', () => {
      // Guards against declared run times that are far too short and would delay the start of the gang.
      addWorkers(1, 4)
      submit(buildGroup('underestimated', 3, { estimatedRunMs: 10 }), buildGroup('rest', 1, { estimatedRunMs: 1000 }))
      placer.decide(0, 10)
      placer.recordOutcome('underestimated-0', 'w0', { succeeded: true, runMs: 5000 })
      placer.release('underestimated-0')
      submit(buildGroup('gang', 4, { kind: 'gang', submittedAt: 1 }))
      placer.decide(1, 10)
      placer.requeue('underestimated-0', 2)
      expect(placer.decide(2, 10)).to.deep.equal([])
    })

    it('frees no declared capacity on reports of low use, and avoids workers with high use', () => {
      // Guards against overcommitment by usage reports, and against placing more work on an overloaded worker.
      addWorkers(2, 4)
      submit(buildGroup('one', 2, { spread: 'rack' }))
      const [hot] = usedWorkers(placer.decide(0, 10))
      placer.recordUsage('one-0', { cpuMillis: 3900, memoryMb: 1, accelerators: 0 })
      placer.recordUsage('one-1', { cpuMillis: 0, memoryMb: 0, accelerators: 0 })
      submit(buildGroup('more', 9))
      const workers = usedWorkers(placer.decide(1, 20))
      expect(workers).to.have.lengthOf(6)
      expect(workers[0]).to.not.equal(hot)
    })

    it('delays batch work before it uses idle workers, by the packing weight and for a bounded time', () => {
      // Guards against a packing weight without effect, and against one that makes work wait forever.
      addWorkers(2, 2)
      placer.setPackingWeight(1)
      submit(buildGroup('g', 3, { estimatedRunMs: 1000 }))
      expect(startedTasks(placer.decide(0, 10))).to.have.lengthOf(2)
      expect(placer.explain('g-2', 0).join()).to.include('packing weight')
      expect(startedTasks(placer.decide(1000 * IDLE_DELAY_SHARE, 10))).to.deep.equal(['g-2'])
    })

    it('keeps the capacity of cancelled tasks allocated until their release', () => {
      // Guards against allocating capacity that a task still uses.
      addWorkers(1, 2)
      submit(buildGroup('g', 3))
      placer.decide(0, 10)
      expect(placer.cancel('g')).to.deep.equal(['g-0', 'g-1'])
      submit(buildGroup('h', 1))
      expect(placer.decide(1, 10)).to.deep.equal([])
      placer.release('g-1')
      expect(startedTasks(placer.decide(2, 10))).to.deep.equal(['h-0'])
    })

    it('places the remaining groups after many cancellations, on workers that were replaced many times', () => {
      // Guards against compaction that drops live groups or workers along with stale ones.
      for (let index = 0; index < 400; index++) {
        placer.addWorker({ id: `x${index}`, failureDomain: 'd', rack: 'r', capacity: cores(1) })
        if (index >= 2) placer.removeWorker(`x${index - 2}`)
      }
      submit(...Array.from({ length: 200 }, (_, index) => buildGroup(`g${index}`, 1)))
      for (let index = 0; index < 200; index++) if (index < 120 || index % 3 === 0) placer.cancel(`g${index}`)
      const started: string[] = []
      for (let round = 0; round < 40; round++) {
        const tasks = startedTasks(placer.decide(round, 10))
        for (const task of tasks) placer.release(task)
        started.push(...tasks)
      }
      const left = Array.from({ length: 80 }, (_, index) => index + 120).filter((index) => index % 3 > 0)
      expect(started).to.deep.equal(left.map((index) => `g${index}-0`))
    })
  })
}
