import { expect } from 'chai'
import { settings, SLOT, TestCell, type TestProcess } from './testSupport/index.ts'

const LONG = { payload: {} }
/** (H + L) x 1.03 with the settings of these tests. */
const FULL_WAIT_MS = (settings.runHorizonMs + settings.taskLeaseMs) * 1.03
const LOSS_MS = settings.taskLeaseMs * 1.03

describe('scheduler', () => {
  let cell: TestCell

  afterEach(() => {
    cell.close()
    expect(cell.violations).to.deep.equal([])
  })

  /** A cell with one task running, whose owner is `a`; `b` is a candidate. */
  const runOne = async (workers = 2): Promise<{ a: TestProcess, b: TestProcess, home: string }> => {
    cell = new TestCell(workers)
    const a = cell.startProcess('a')
    await cell.run(1_000)
    const b = cell.startProcess('b')
    cell.configure([{ id: 'x', ...LONG }])
    await cell.run(6_000)
    const [home = ''] = cell.runningOn('s/x/0')
    expect(home).to.not.equal('')
    return { a, b, home }
  }

  describe('owner that pauses', () => {
    for (const target of ['its intent and the start', 'the lease check and the send'] as const) {
      it(`does not start anything when it wakes after its lease, paused between ${target}`, async () => {
        cell = new TestCell(2)
        const a = cell.startProcess('a')
        await cell.run(1_000)
        const b = cell.startProcess('b')
        let home = ''
        if (target === 'its intent and the start') {
          cell.table.onWrite = (write) => { if (JSON.stringify(write).includes('"intent"')) a.pause() }
        } else a.beforeCall = (_, method) => { if (method === 'start') a.pause() }
        cell.configure([{ id: 'x', ...LONG }])
        await cell.run(1_000)
        home = JSON.stringify((await cell.table.scan('journal/')).unsafeCoerce()).match(/"worker":"(w\d)"/)?.[1] ?? ''
        a.beforeCall = () => {}
        cell.table.onWrite = () => {}
        // The new owner can't reach the worker that the paused start is for.
        b.link(home).cut = true
        await cell.run(FULL_WAIT_MS + 40_000)
        expect(cell.runningOn('s/x/0')).to.have.length(1).and.not.include(home)
        const starts = cell.starts.length
        a.resume()
        await cell.run(60_000)
        expect(cell.starts.length).to.equal(starts)
        expect(await a.status()).to.equal(undefined)
      })
    }

    it('discards its state when it wakes, and the tasks go on under the new owner', async () => {
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
      { name: 'before the start was sent', losesAnswer: false }, { name: 'when the start took effect but its answer was lost', losesAnswer: true }
    ]
    for (const { name, losesAnswer } of moments) {
      it(`completes an unresolved intent on the same worker as the same attempt, ${name}`, async () => {
        cell = new TestCell(3)
        const a = cell.startProcess('a')
        await cell.run(1_000)
        cell.startProcess('b')
        a.beforeCall = (target, method) => {
          if (method !== 'start') return
          if (losesAnswer) a.link(target).losesAnswers = true
          else a.link(target).cut = true
          setTimeout(() => a.kill(), 0)
        }
        cell.configure([{ id: 'x', ...LONG }])
        await cell.run(30_000)
        expect(cell.starts).to.have.length(1)
        expect(cell.starts[0]).to.include({ attempt: 1 })
        expect(cell.runningOn('s/x/0')).to.have.length(1)
      })
    }

    it('waits for H + L before it replaces a task whose worker it can not reach: the old owner may sustain it', async () => {
      const { a, b, home } = await runOne()
      // The old owner reaches only the worker that the new one does not, so neither hears of the other.
      for (const target of ['table', 'w0', 'w1']) a.link(target).cut = target !== home
      b.link(home).cut = true
      await cell.run(settings.runHorizonMs - 10_000)
      expect((await b.status())?.epoch).to.equal(2)
      expect(cell.runningOn('s/x/0'), 'sustained by the old owner').to.deep.equal([home])
      await cell.run(FULL_WAIT_MS)
      expect(cell.runningOn('s/x/0')).to.have.length(1).and.not.include(home)
    })

    it('does not happen during a store outage; afterwards the tasks are placed again', async () => {
      const { a, b } = await runOne()
      cell.table.faults.set({ down: true })
      a.kill()
      await cell.run(60_000)
      expect(await b.status()).to.equal(undefined)
      expect(cell.runningOn('s/x/0'), 'lease lapsed').to.deep.equal([])
      cell.table.faults.clear()
      await cell.run(20_000)
      expect(cell.runningOn('s/x/0')).to.have.length(1)
    })

    it('learns of an end that the old owner could not record, or finished work would run again', async () => {
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

    it('does not act on a configuration older than the journal, or it would stop newer workloads', async () => {
      const { a, b, home } = await runOne()
      cell.rewindConfiguration([])
      a.kill()
      await cell.run(30_000)
      expect(await b.status()).to.include({ epoch: 2, state: 'configuration-behind' })
      expect(cell.runningOn('s/x/0')).to.deep.equal([home])
    })

    it('stops attempts that the journal does not know, and gives their room away only then', async () => {
      cell = new TestCell(1)
      const worker = cell.worker('w0')
      const session = (await worker.openSession({ shard: 'hall', epoch: 0, ttlMs: 10_000, label: '' })).unsafeCoerce()
      const start = { task: 'stray', resources: { ...SLOT, cpuMillis: 2_000 }, leaseMs: 60_000, payload: {} }
      await worker.start(session, [{ ...start, attempt: 1 }])
      const a = cell.startProcess('a')
      a.link('w0').ignoresStops = true
      cell.configure([{ id: 'x', ...LONG }])
      await cell.run(20_000)
      expect(cell.runningTasks).to.deep.equal(['stray'])
      a.link('w0').ignoresStops = false
      await cell.run(20_000)
      expect(cell.runningTasks).to.deep.equal(['s/x/0'])
    })
  })

  it('does not start a task elsewhere when the answer to its start is lost', async () => {
    cell = new TestCell(3)
    const a = cell.startProcess('a')
    a.beforeCall = (target, method) => { if (method === 'start') a.link(target).losesAnswers = true }
    cell.configure([{ id: 'x', ...LONG }])
    await cell.run(20_000)
    expect(cell.starts).to.have.length(1)
    a.beforeCall = () => {}
    for (const link of a.links.values()) link.losesAnswers = false
    await cell.run(20_000)
    expect(cell.starts).to.have.length(1)
    expect((await a.status())?.tasks[0]).to.include({ state: 'running', attempt: 1 })
  })

  it('does not move a task whose repeated start is refused while the first one may still arrive', async () => {
    cell = new TestCell(2)
    const a = cell.startProcess('a')
    a.beforeCall = (target, method) => {
      if (method !== 'start') return
      const link = a.link(target)
      link.refusesStarts = link.delaysStartsMs > 0
      link.delaysStartsMs = 4_000
    }
    cell.configure([{ id: 'x', ...LONG }])
    await cell.run(20_000)
    expect(cell.starts).to.have.length(1)
    expect((await a.status())?.tasks[0]).to.include({ state: 'running', attempt: 1 })
  })

  describe('store outage', () => {
    const outages = [
      { name: 'down', faults: { down: true } },
      { name: 'losing every answer after the effect', faults: { loseAnswers: 1 } },
      { name: 'slower than the lease', faults: { delayMs: 11_000 } }
    ]
    for (const { name, faults } of outages) {
      it(`keeps running tasks and starts none while the store is ${name}`, async () => {
        const { a, home } = await runOne()
        await cell.run(100)
        cell.table.faults.set(faults)
        cell.configure([{ id: 'x', ...LONG }, { id: 'y', ...LONG }])
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

    it('stops sustaining after H, or a later owner could not tell when tasks have ended', async () => {
      await runOne()
      cell.table.faults.set({ down: true })
      await cell.run(settings.runHorizonMs + settings.taskLeaseMs + 5_000)
      expect(cell.runningTasks).to.deep.equal([])
    })
  })

  describe('worker', () => {
    it('that is unreachable keeps its task until L x 1.03 has passed, then the task runs elsewhere', async () => {
      const { a, home } = await runOne()
      a.link(home).cut = true
      await cell.run(LOSS_MS - 6_000)
      expect(cell.starts).to.have.length(1)
      await cell.run(12_000)
      expect(cell.runningOn('s/x/0')).to.have.length(1).and.not.include(home)
    })

    it('whose answers are lost gets no more renewals, so that its task can be replaced', async () => {
      const { a, home } = await runOne()
      a.link(home).losesAnswers = true
      await cell.run(2 * LOSS_MS + 12_000)
      expect(cell.runningOn('s/x/0')).to.have.length(1).and.not.include(home)
    })

    it('that answers many stops slowly still gets its heartbeats, or its other tasks would lapse', async () => {
      cell = new TestCell(1, { ...SLOT, cpuMillis: 50_000, memoryMb: 50_000 })
      cell.startProcess('a')
      cell.configure([{ id: 'x', ...LONG }, { id: 'y', tasks: 40, ...LONG }])
      await cell.run(8_000)
      cell.worker('w0').faults.set({ delayMs: 1_500 })
      cell.configure([{ id: 'x', ...LONG }])
      await cell.run(90_000)
      expect(cell.runningTasks).to.deep.equal(['s/x/0'])
      expect(cell.starts).to.have.length(41)
    })

    it('that dies loses its tasks to other workers, and is used again when it is back', async () => {
      const { home } = await runOne()
      cell.worker(home).fail()
      await cell.run(LOSS_MS + 6_000)
      expect(cell.runningOn('s/x/0')).to.have.length(1).and.not.include(home)
      cell.worker(home).faults.clear()
      cell.configure([{ id: 'x', ...LONG }, { id: 'y', tasks: 3, ...LONG }])
      await cell.run(10_000)
      expect(cell.runningTasks).to.have.length(4)
    })

    it('that leaves gives up services and preemptible tasks and finishes the others', async () => {
      cell = new TestCell(2, { ...SLOT, cpuMillis: 3_000, memoryMb: 3_000 })
      cell.startProcess('a')
      cell.configure([
        { id: 'fixed', ...LONG }, { id: 'soft', preemptible: true, ...LONG }, { id: 'web', kind: 'service' }
      ])
      await cell.run(8_000)
      const before = new Map(cell.runningTasks.map((task) => [task, cell.runningOn(task)]))
      expect(before.size).to.equal(3)
      for (const id of ['w0', 'w1']) cell.list(id, 'leaving')
      cell.addWorker('w2')
      await cell.run(15_000)
      expect(cell.runningOn('s/fixed/0')).to.deep.equal(before.get('s/fixed/0'))
      expect(cell.runningOn('s/soft/0')).to.deep.equal(['w2'])
      expect(cell.runningOn('s/web@hall/0')).to.deep.equal(['w2'])
    })
  })
})
