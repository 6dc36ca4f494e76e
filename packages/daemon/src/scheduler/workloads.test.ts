import { expect } from 'chai'
import { SLOT, TestCell } from './testSupport/index.ts'

/** A task without a run time runs until it is stopped. */
const UNTIL_STOPPED = { payload: {} }

describe('scheduler and its workloads', () => {
  let cell: TestCell

  afterEach(() => {
    cell.close()
    expect(cell.violations).to.deep.equal([])
  })

  describe('cancellation', () => {
    it('during a start whose response is lost ends the attempt and leaves no task behind', async () => {
      cell = new TestCell(2)
      const a = cell.startProcess('a')
      a.beforeCall = (target, method) => { if (method === 'start') a.link(target).losesResponses = true }
      cell.configure([{ id: 'x', ...UNTIL_STOPPED }])
      await cell.run(3_000)
      cell.configure([{ id: 'x', ...UNTIL_STOPPED }], ['x'])
      a.beforeCall = () => {}
      await cell.run(1_000)
      for (const link of a.links.values()) link.losesResponses = false
      await cell.run(20_000)
      expect(cell.runningTasks).to.deep.equal([])
      expect((await a.status())?.tasks[0]).to.include({ task: 's/x', state: 'cancelled' })
    })

    it('of a task whose start takes effect late keeps its capacity until the attempt has certainly ended', async () => {
      cell = new TestCell(1)
      const a = cell.startProcess('a')
      const wholeWorker = { ...SLOT, cpuMillis: 2_000 }
      a.link('w0').delaysStartsMs = 8_000
      cell.configure([{ id: 'x', resources: wholeWorker, ...UNTIL_STOPPED }])
      await cell.run(3_000)
      a.link('w0').delaysStartsMs = 0
      cell.configure([{ id: 'y', resources: wholeWorker, ...UNTIL_STOPPED }])
      await cell.run(30_000)
      expect(cell.starts.map(({ task }) => task)).to.deep.equal(['s/x/0', 's/y/0'])
      expect(cell.runningTasks).to.deep.equal(['s/y/0'])
    })

    it('sends no start when it happens while the intent is being recorded', async () => {
      cell = new TestCell(2)
      const a = cell.startProcess('a')
      await cell.run(7_000)
      cell.table.faults.set({ delayMs: 400 })
      cell.configure([{ id: 'x', ...UNTIL_STOPPED }])
      await cell.run(700)
      expect((await a.status())?.tasks[0]?.state).to.equal('recording')
      cell.configure([{ id: 'x', ...UNTIL_STOPPED }], ['x'])
      await cell.run(10_000)
      expect(cell.starts).to.deep.equal([])
      expect((await a.status())?.tasks[0]).to.include({ state: 'cancelled' })
    })

    it('frees the capacity of a task only after the task has ended', async () => {
      cell = new TestCell(1)
      const a = cell.startProcess('a')
      const wholeWorker = { ...SLOT, cpuMillis: 2_000 }
      cell.configure([{ id: 'x', resources: wholeWorker, ...UNTIL_STOPPED }])
      await cell.run(8_000)
      a.link('w0').ignoresStops = true
      cell.configure([{ id: 'y', resources: wholeWorker, ...UNTIL_STOPPED }])
      await cell.run(20_000)
      expect(cell.runningTasks).to.deep.equal(['s/x/0'])
      a.link('w0').ignoresStops = false
      await cell.run(20_000)
      expect(cell.runningTasks).to.deep.equal(['s/y/0'])
    })

    it('of many workloads at once takes only a few journal writes', async () => {
      cell = new TestCell(10, { ...SLOT, cpuMillis: 50_000, memoryMb: 50_000 })
      cell.startProcess('a')
      const ids = Array.from({ length: 400 }, (_, index) => `x${index}`)
      cell.configure(ids.map((id) => ({ id, ...UNTIL_STOPPED })))
      await cell.run(10_000)
      expect(cell.runningTasks).to.have.length(400)
      const before = cell.table.writeCount
      cell.configure([])
      await cell.run(10_000)
      expect(cell.runningTasks).to.deep.equal([])
      expect((await cell.table.scan('assignment/')).unsafeCoerce()).to.deep.equal([])
      expect(cell.table.writeCount - before).to.be.below(40)
    })
  })

  it('runs a group in one shard only, even when schedulers with different inventories disagree on its home', async () => {
    cell = new TestCell(4)
    for (const id of ['n0', 'n1', 'n2', 'n3']) cell.addWorker(id, 'north')
    cell.startProcess('a', { hiddenDomain: 'north' })
    cell.startProcess('b', { failureDomain: 'north', hiddenDomain: 'hall' })
    const ids = ['c', 'd', 'e', 'f', 'g', 'h']
    cell.configure(ids.map((id) => ({ id, ...UNTIL_STOPPED })))
    await cell.run(60_000)
    expect(cell.runningTasks).to.deep.equal(ids.map((id) => `s/${id}/0`))
    expect(cell.starts).to.have.length(6)
  })

  it('stops all members of a gang when a worker refuses one, and runs the gang later', async () => {
    cell = new TestCell(2)
    const a = cell.startProcess('a')
    a.link('w1').refusesStarts = true
    cell.configure([{ id: 'gang', kind: 'gang', tasks: 3, payload: { runMs: 15_000 } }])
    await cell.runUntil(() => cell.runningTasks.length === 2, 10_000)
    await cell.run(300)
    expect(cell.runningTasks, 'members running without the refused one').to.deep.equal([])
    a.link('w1').refusesStarts = false
    await cell.run(5_000)
    expect(cell.runningTasks).to.have.length(3)
    await cell.run(20_000)
    expect((await a.status())?.tasks[0]?.state).to.equal('succeeded')
  })

  it('checkpoints and ends a preempted task before its capacity is used', async () => {
    cell = new TestCell(1)
    const low = {
      id: 'low', preemptible: true, priority: 'low' as const, resources: { ...SLOT, cpuMillis: 2_000 }, payload: { runMs: 30_000 }
    }
    cell.startProcess('a')
    cell.configure([low])
    await cell.run(7_000)
    expect(cell.runningTasks).to.deep.equal(['s/low/0'])
    cell.configure([low, { id: 'high', priority: 'urgent', payload: { runMs: 5_000 } }])
    await cell.run(2_000)
    expect(cell.runningTasks).to.deep.equal(['s/high/0'])
    await cell.run(50_000)
    expect(cell.ends[0]).to.deep.equal({ task: 's/low/0', state: 'checkpointed' })
    expect([...cell.succeeded].sort()).to.deep.equal(['s/high/0', 's/low/0'])
  })

  describe('configuration change', () => {
    it('scales a service without restarts, and replaces its tasks one by one when their resources change', async () => {
      cell = new TestCell(3)
      cell.startProcess('a')
      const web = (tasks: number, resources = SLOT) => cell.configure([{ id: 'web', kind: 'service', tasks, resources }])
      web(2)
      await cell.run(8_000)
      web(4)
      await cell.run(3_000)
      expect(cell.runningTasks).to.have.length(4)
      web(3)
      await cell.run(3_000)
      expect(cell.runningTasks).to.deep.equal([0, 1, 2].map((index) => `s/web@hall/${index}`))
      web(4)
      await cell.run(3_000)
      web(3)
      await cell.run(3_000)
      expect(cell.starts).to.have.length(5)
      web(3, { ...SLOT, cpuMillis: 500 })
      let fewest = 3
      for (let ms = 0; ms < 20_000; ms += 50) {
        await cell.run(50)
        fewest = Math.min(fewest, cell.runningTasks.length)
      }
      expect(fewest, 'tasks running during the replacement').to.equal(2)
      const sizes = [...cell.running.values()].flat().map(({ report }) => report.resources.cpuMillis)
      expect(sizes).to.deep.equal([500, 500, 500])
    })

    it('runs a finished batch again only with a new payload, even after a takeover', async () => {
      cell = new TestCell(2)
      const a = cell.startProcess('a')
      cell.configure([{ id: 'x', payload: { runMs: 1_000 } }])
      await cell.run(10_000)
      expect(cell.succeeded.size).to.equal(1)
      a.kill()
      const b = cell.startProcess('b')
      cell.configure([{ id: 'x', retryLimit: 7, tasks: 3, payload: { runMs: 1_000 } }])
      await cell.run(30_000)
      expect(cell.starts).to.have.length(1)
      expect(await b.explain('s/x/0')).to.include('over: succeeded')
      cell.configure([{ id: 'x', payload: { runMs: 2_000 } }])
      await cell.run(10_000)
      expect(cell.starts.map(({ attempt }) => attempt)).to.deep.equal([1, 2])
    })
  })
})
