import { expect } from 'chai'
import { settings, SLOT, TestCell, type TestProcess } from './testSupport/index.ts'

/*
 * The run horizon (`runHorizonMs`) is how long an owner without the store may renew task leases (`taskLeaseMs`). The
 * factor 1.03 allows for clock drift.
 */

/** A task without a run time runs until it is stopped. */
const UNTIL_STOPPED = { payload: {} }
/** Time after a takeover until the tasks of a worker that the new owner never reached are lost. */
const UNREACHABLE_LOSS_MS = (settings.runHorizonMs + settings.taskLeaseMs) * 1.03
/** Time after the last renewal until the tasks of an unreachable worker are lost. */
const TASK_LOSS_MS = settings.taskLeaseMs * 1.03

describe('scheduler', () => {
  let cell: TestCell

  afterEach(() => {
    cell.close()
    expect(cell.violations).to.deep.equal([])
  })

  /** Creates a cell with one running task. Process `a` owns the shard, `b` is a candidate, and `home` runs the task. */
  const runOne = async (workers = 2): Promise<{ a: TestProcess, b: TestProcess, home: string }> => {
    cell = new TestCell(workers)
    const a = cell.startProcess('a')
    await cell.run(1_000)
    const b = cell.startProcess('b')
    cell.configure([{ id: 'x', ...UNTIL_STOPPED }])
    await cell.run(6_000)
    const [home = ''] = cell.runningOn('s/x/0')
    expect(home).to.not.equal('')
    return { a, b, home }
  }

  describe('paused owner', () => {
    for (const moment of ['intent and start', 'lease check and start'] as const) {
      it(`starts nothing when it resumes after its lease has expired, paused between ${moment}`, async () => {
        cell = new TestCell(2)
        const a = cell.startProcess('a')
        await cell.run(1_000)
        const b = cell.startProcess('b')
        let home = ''
        if (moment === 'intent and start') {
          cell.table.onWrite = (write) => { if (JSON.stringify(write).includes('"intent"')) a.pause() }
        } else a.beforeCall = (_, method) => { if (method === 'start') a.pause() }
        cell.configure([{ id: 'x', ...UNTIL_STOPPED }])
        await cell.run(1_000)
        home = JSON.stringify((await cell.table.scan('journal/')).unsafeCoerce()).match(/"worker":"(w\d)"/)?.[1] ?? ''
        a.beforeCall = () => {}
        cell.table.onWrite = () => {}
        // The new owner can't reach the worker to which the paused start goes.
        b.link(home).cut = true
        await cell.run(UNREACHABLE_LOSS_MS + 40_000)
        expect(cell.runningOn('s/x/0')).to.have.length(1).and.not.include(home)
        const starts = cell.starts.length
        a.resume()
        await cell.run(60_000)
        expect(cell.starts.length).to.equal(starts)
        expect(await a.status()).to.equal(undefined)
      })
    }

    it('discards its state when it resumes, and the tasks continue under the new owner', async () => {
      const { a, b, home } = await runOne()
      a.pause()
      await cell.run(20_000)
      expect((await b.status())?.epoch).to.equal(2)
      a.resume()
      await cell.run(60_000)
      expect(cell.runningOn('s/x/0')).to.deep.equal([home])
      expect(cell.starts).to.have.length(1)
      expect(await a.status()).to.equal(undefined)
    })
  })

  describe('takeover', () => {
    const moments = [
      { name: 'when the start was not sent', losesResponse: false },
      { name: 'when the start took effect but its response was lost', losesResponse: true }
    ]
    for (const { name, losesResponse } of moments) {
      it(`completes a recorded intent on the same worker with the same attempt number, ${name}`, async () => {
        cell = new TestCell(3)
        const a = cell.startProcess('a')
        await cell.run(1_000)
        cell.startProcess('b')
        a.beforeCall = (target, method) => {
          if (method !== 'start') return
          if (losesResponse) a.link(target).losesResponses = true
          else a.link(target).cut = true
          setTimeout(() => a.kill(), 0)
        }
        cell.configure([{ id: 'x', ...UNTIL_STOPPED }])
        await cell.run(30_000)
        expect(cell.starts).to.have.length(1)
        expect(cell.starts[0]).to.include({ attempt: 1 })
        expect(cell.runningOn('s/x/0')).to.have.length(1)
      })
    }

    it('replaces a task on an unreachable worker only after run horizon and task lease, as the old owner may renew it', async () => {
      const { a, b, home } = await runOne()
      // The old owner reaches only the worker that the new owner does not reach, so neither learns of the other.
      for (const target of ['table', 'w0', 'w1']) a.link(target).cut = target !== home
      b.link(home).cut = true
      await cell.run(settings.runHorizonMs - 10_000)
      expect((await b.status())?.epoch).to.equal(2)
      expect(cell.runningOn('s/x/0'), 'renewed by the old owner').to.deep.equal([home])
      await cell.run(UNREACHABLE_LOSS_MS)
      expect(cell.runningOn('s/x/0')).to.have.length(1).and.not.include(home)
    })

    it('does not happen during a store outage, after which the tasks are placed again', async () => {
      const { a, b } = await runOne()
      cell.table.faults.set({ down: true })
      a.kill()
      await cell.run(60_000)
      expect(await b.status()).to.equal(undefined)
      expect(cell.runningOn('s/x/0'), 'lease expired').to.deep.equal([])
      cell.table.faults.clear()
      await cell.run(20_000)
      expect(cell.runningOn('s/x/0')).to.have.length(1)
    })

    it('records an end that the old owner could not record, or finished work would run again', async () => {
      cell = new TestCell(2)
      const a = cell.startProcess('a')
      await cell.run(1_000)
      const b = cell.startProcess('b')
      cell.configure([{ id: 'x', payload: { runMs: 10_000 } }])
      await cell.run(6_000)
      cell.table.faults.set({ down: true })
      await cell.run(15_000)
      expect(cell.succeeded.size).to.equal(1)
      a.kill()
      cell.table.faults.clear()
      await cell.run(60_000)
      expect((await b.status())?.tasks[0]?.state).to.equal('succeeded')
      expect(cell.starts).to.have.length(1)
    })

    it('does not apply a configuration older than the journal, or it would stop newer workloads', async () => {
      const { a, b, home } = await runOne()
      cell.rewindConfiguration([])
      a.kill()
      await cell.run(30_000)
      expect(await b.status()).to.include({ epoch: 2, state: 'configuration-behind' })
      expect(cell.runningOn('s/x/0')).to.deep.equal([home])
    })

    it('stops attempts that are not in the journal, and reuses their capacity only after they have ended', async () => {
      cell = new TestCell(1)
      const worker = cell.worker('w0')
      const session = (await worker.openSession({ shard: 'hall', epoch: 0, ttlMs: 10_000, label: '' })).unsafeCoerce()
      const start = { task: 'stray', resources: { ...SLOT, cpuMillis: 2_000 }, leaseMs: 60_000, payload: {} }
      await worker.start(session, [{ ...start, attempt: 1 }])
      const a = cell.startProcess('a')
      a.link('w0').ignoresStops = true
      cell.configure([{ id: 'x', ...UNTIL_STOPPED }])
      await cell.run(20_000)
      expect(cell.runningTasks).to.deep.equal(['stray'])
      a.link('w0').ignoresStops = false
      await cell.run(20_000)
      expect(cell.runningTasks).to.deep.equal(['s/x/0'])
    })
  })

  it('does not start a task elsewhere when the response to its start is lost', async () => {
    cell = new TestCell(3)
    const a = cell.startProcess('a')
    a.beforeCall = (target, method) => { if (method === 'start') a.link(target).losesResponses = true }
    cell.configure([{ id: 'x', ...UNTIL_STOPPED }])
    await cell.run(20_000)
    expect(cell.starts).to.have.length(1)
    a.beforeCall = () => {}
    for (const link of a.links.values()) link.losesResponses = false
    await cell.run(20_000)
    expect(cell.starts).to.have.length(1)
    expect((await a.status())?.tasks[0]).to.include({ state: 'running', attempt: 1 })
  })

  it('does not move a task when its repeated start is refused while the first one may still arrive', async () => {
    cell = new TestCell(2)
    const a = cell.startProcess('a')
    a.beforeCall = (target, method) => {
      if (method !== 'start') return
      const link = a.link(target)
      link.refusesStarts = link.delaysStartsMs > 0
      link.delaysStartsMs = 4_000
    }
    cell.configure([{ id: 'x', ...UNTIL_STOPPED }])
    await cell.run(20_000)
    expect(cell.starts).to.have.length(1)
    expect((await a.status())?.tasks[0]).to.include({ state: 'running', attempt: 1 })
  })

  describe('store outage', () => {
    const outages = [
      { name: 'down', faults: { down: true } },
      { name: 'losing every response after the effect', faults: { loseAnswers: 1 } },
      { name: 'slower than the lease', faults: { delayMs: 11_000 } }
    ]
    for (const { name, faults } of outages) {
      it(`keeps running tasks and starts none while the store is ${name}`, async () => {
        const { a, home } = await runOne()
        await cell.run(100)
        cell.table.faults.set(faults)
        cell.configure([{ id: 'x', ...UNTIL_STOPPED }, { id: 'y', ...UNTIL_STOPPED }])
        await cell.run(90_000)
        expect(cell.runningTasks).to.deep.equal(['s/x/0'])
        expect(cell.runningOn('s/x/0')).to.deep.equal([home])
        if (faults.delayMs === undefined) {
          expect(await a.explain('s/y/0')).to.include('store-unavailable')
        }
        cell.table.faults.clear()
        await cell.run(40_000)
        expect(cell.runningTasks).to.deep.equal(['s/x/0', 's/y/0'])
      })
    }

    it('stops renewing task leases after the run horizon, or a later owner could not tell when tasks have ended', async () => {
      await runOne()
      cell.table.faults.set({ down: true })
      await cell.run(settings.runHorizonMs + settings.taskLeaseMs + 5_000)
      expect(cell.runningTasks).to.deep.equal([])
    })
  })

  describe('worker', () => {
    it('that is unreachable keeps its task until the task lease has certainly expired, then the task runs elsewhere', async () => {
      const { a, home } = await runOne()
      a.link(home).cut = true
      await cell.run(TASK_LOSS_MS - 6_000)
      expect(cell.starts).to.have.length(1)
      await cell.run(12_000)
      expect(cell.runningOn('s/x/0')).to.have.length(1).and.not.include(home)
    })

    it('whose responses are lost gets no more renewals, so that its task can run elsewhere', async () => {
      const { a, home } = await runOne()
      a.link(home).losesResponses = true
      await cell.run(2 * TASK_LOSS_MS + 12_000)
      expect(cell.runningOn('s/x/0')).to.have.length(1).and.not.include(home)
    })

    it('that responds slowly to many stops still gets heartbeats, or the leases of its other tasks would expire', async () => {
      cell = new TestCell(1, { ...SLOT, cpuMillis: 50_000, memoryMb: 50_000 })
      cell.startProcess('a')
      cell.configure([{ id: 'x', ...UNTIL_STOPPED }, { id: 'y', tasks: 40, ...UNTIL_STOPPED }])
      await cell.run(8_000)
      cell.worker('w0').faults.set({ delayMs: 1_500 })
      cell.configure([{ id: 'x', ...UNTIL_STOPPED }])
      await cell.run(90_000)
      expect(cell.runningTasks).to.deep.equal(['s/x/0'])
      expect(cell.starts).to.have.length(41)
    })

    it('that fails loses its tasks to other workers, and is used again when it is back', async () => {
      const { home } = await runOne()
      cell.worker(home).fail()
      await cell.run(TASK_LOSS_MS + 6_000)
      expect(cell.runningOn('s/x/0')).to.have.length(1).and.not.include(home)
      cell.worker(home).faults.clear()
      cell.configure([{ id: 'x', ...UNTIL_STOPPED }, { id: 'y', tasks: 3, ...UNTIL_STOPPED }])
      await cell.run(10_000)
      expect(cell.runningTasks).to.have.length(4)
    })

    it('that is leaving hands over services and preemptible tasks and finishes the others', async () => {
      cell = new TestCell(2, { ...SLOT, cpuMillis: 3_000, memoryMb: 3_000 })
      cell.startProcess('a')
      cell.configure([
        { id: 'fixed', ...UNTIL_STOPPED }, { id: 'soft', preemptible: true, ...UNTIL_STOPPED }, { id: 'web', kind: 'service' }
      ])
      await cell.run(8_000)
      const before = new Map(cell.runningTasks.map((task) => [task, cell.runningOn(task)]))
      expect(before.size).to.equal(3)
      for (const id of ['w0', 'w1']) cell.listMachine(id, 'leaving')
      cell.addWorker('w2')
      await cell.run(15_000)
      expect(cell.runningOn('s/fixed/0')).to.deep.equal(before.get('s/fixed/0'))
      expect(cell.runningOn('s/soft/0')).to.deep.equal(['w2'])
      expect(cell.runningOn('s/web@hall/0')).to.deep.equal(['w2'])
    })
  })
})
