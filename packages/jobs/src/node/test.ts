import { install, type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { MemoryCell, TICKET_VALID_MS, createQueue, type StoreFault } from '../standins/index.ts'

const ID = '00000000000000a1'

/** Lets a call go on while the clock is advanced. */
function start (call: Promise<unknown>): void {
  call.catch((error) => { throw error })
}

describe('CellNode', () => {
  let clock: Clock
  beforeEach(() => { clock = install() })
  afterEach(() => clock.uninstall())

  const cases: Array<{
    name: string,
    play: (cell: MemoryCell) => Promise<void>,
    options?: ConstructorParameters<typeof MemoryCell>[0]
  }> = [
    {
      name: 'stores jobs of urgent queues first while a slow store lets many wait',
      options: { storeLatencyMs: 400, workers: 8 },
      play: async (cell) => {
        const demand = { cpuMillis: 100, memoryMb: 50, accelerators: 0 }
        const queue = createQueue('batch', { priority: 2 })
        for (let index = 0; index < 300; index++) start(cell.submit(`00000000000${10_000 + index}`, [{ demand }], { queue }))
        await clock.tickAsync(500)
        start(cell.submit(ID, [{ demand }]))
        await clock.tickAsync(1_300)
        expect(cell.checker.countRunning(`${ID}.0.0.0`)).to.equal(1)
        expect(cell.checker.starts).to.be.lessThan(300)
      }
    },
    {
      name: 'runs the steps of a job in order and shows it as completed',
      play: async (cell) => {
        const accepted = cell.submit(ID, [{ count: 3 }, { count: 2, after: [0] }])
        await clock.tickAsync(100)
        expect(await accepted).to.equal('accepted')
        await clock.tickAsync(3_000)
        expect(await showSoon(cell, ID)).to.equal('completed')
      }
    },
    {
      name: 'keeps one job when the same id is submitted at two nodes at once',
      play: async (cell) => {
        const both = Promise.all([cell.submit(ID, [{}], { node: 'n0' }), cell.submit(ID, [{}], { node: 'n1' })])
        await clock.tickAsync(200)
        expect(await both).to.deep.equal(['accepted', 'accepted'])
        await clock.tickAsync(3_000)
        expect(cell.checker.starts).to.equal(1)
      }
    },
    {
      name: 'goes on within three seconds when the owner is killed, and starts nothing twice',
      play: async (cell) => {
        start(cell.submit(ID, [{ count: 4 }, { count: 4, after: [0] }]))
        await clock.tickAsync(500)
        cell.killNode(cell.owner!.name)
        await clock.tickAsync(3_000)
        expect(cell.owner).not.to.equal(undefined)
        await clock.tickAsync(2_000)
        expect(await showSoon(cell, ID)).to.equal('completed')
        expect(cell.checker.starts).to.equal(8)
      }
    },
    {
      name: 'recovers jobs and running tasks from the store when all nodes are killed at once',
      play: async (cell) => {
        start(cell.submit(ID, [{ count: 4, estimatedRunMs: 4_000 }]))
        await clock.tickAsync(500)
        for (const name of [...cell.nodes.keys()]) cell.killNode(name)
        await clock.tickAsync(300)
        for (const name of [...cell.nodes.keys()]) cell.startNode(name)
        await clock.tickAsync(6_000)
        expect(await showSoon(cell, ID)).to.equal('completed')
        expect(cell.checker.starts).to.equal(4)
      }
    },
    {
      name: 'shows the state of ended jobs after a takeover, from rows that no longer hold the job',
      play: async (cell) => {
        start(cell.submit(ID, [{ count: 3 }]))
        await clock.tickAsync(3_000)
        const row = cell.rows.rows.get(`progress/cell/${ID}`)
        expect(row?.value?.length).to.be.lessThan(100)
        cell.killNode(cell.owner!.name)
        await clock.tickAsync(3_000)
        expect(await showSoon(cell, ID)).to.equal('completed')
        expect(cell.checker.starts).to.equal(3)
      }
    },
    {
      name: 'does not run an ended job again that was forgotten while a partition of accepted jobs was away',
      play: async (cell) => {
        start(cell.submit(ID, [{}]))
        await clock.tickAsync(100_000)
        for (const { store } of cell.nodes.values()) {
          store.fault = (call, partition) => call === 'commit' && partition.startsWith('jobs-') ? 'refused' : undefined
        }
        await clock.tickAsync(40_000)
        cell.killNode(cell.owner!.name)
        await clock.tickAsync(3_000)
        expect(cell.checker.starts).to.equal(1)
        for (const { store } of cell.nodes.values()) store.fault = () => undefined
        await clock.tickAsync(10_000)
        expect([...cell.rows.rows.keys()].filter((name) => name.endsWith(ID))).to.deep.equal([])
        expect(cell.checker.starts).to.equal(1)
      }
    },
    {
      name: 'counts a job as waiting until a worker has confirmed a start',
      options: { workers: 1 },
      play: async (cell) => {
        const worker = [...cell.workers.workers.values()][0]!
        worker.fault = (call) => call === 'start' ? 'silent' : undefined
        start(cell.submit(ID, [{ estimatedRunMs: 10_000 }]))
        await clock.tickAsync(1_000)
        expect(await cell.owner!.cell.jobs.countPending('batch')).to.equal(1)
        worker.fault = () => undefined
        await clock.tickAsync(1_500)
        expect(await cell.owner!.cell.jobs.countPending('batch')).to.equal(0)
        cell.killNode(cell.owner!.name)
        await clock.tickAsync(3_000)
        expect(await cell.owner!.cell.jobs.countPending('batch')).to.equal(0)
      }
    },
    {
      name: 'takes in jobs of the partitions that answer while five of them are away',
      play: async (cell) => {
        const partitions = [0, 1, 2, 3, 4].map((index) => `jobs-${index}`)
        const ids = Array.from({ length: 16 }, (_, index) => `00000000000000c${index.toString(16)}`)
        cell.killNode(cell.owner!.name)
        const accepted = Promise.all(ids.map((id) => cell.submit(id, [{ estimatedRunMs: 100 }])))
        await clock.tickAsync(200)
        await accepted
        for (const { store } of cell.nodes.values()) {
          store.fault = (_call, partition) => partitions.includes(partition) ? 'silent' : undefined
        }
        await clock.tickAsync(4_000)
        const stored = (id: string) => [...cell.rows.rows.values()].find(({ table, key }) => table === 'jobs' && key === id)
        const reachable = ids.filter((id) => !partitions.includes(stored(id)!.partition))
        for (const id of reachable) expect(await showSoon(cell, id), id).to.equal('completed')
        expect(reachable).to.have.length.greaterThan(5)
      }
    },
    {
      name: 'tells no number of waiting jobs before all accepted jobs were read',
      play: async (cell) => {
        const silence = (fault: (partition: string) => StoreFault) => {
          for (const { store } of cell.nodes.values()) store.fault = (_call, partition) => fault(partition)
        }
        cell.killNode(cell.owner!.name)
        start(cell.submit(ID, [{ demand: { cpuMillis: 99_000, memoryMb: 1, accelerators: 0 } }]))
        await clock.tickAsync(100)
        silence((partition) => partition.startsWith('jobs-') ? 'refused' : undefined)
        await clock.tickAsync(3_000)
        expect(await cell.owner!.cell.jobs.countPending('batch')).to.equal(undefined)
        silence(() => undefined)
        await clock.tickAsync(1_000)
        expect(await cell.owner!.cell.jobs.countPending('batch')).to.equal(1)
      }
    },
    {
      name: 'leaves a cell to nodes with a stronger processor and link',
      options: { nodes: 3, weakNodes: ['n0', 'n1'] },
      play: async (cell) => {
        await clock.tickAsync(1_000)
        expect(cell.owner?.name).to.equal('n2')
      }
    },
    {
      name: 'hands a cell that a weak node has taken over to a stronger one as soon as that follows',
      options: { nodes: 3, weakNodes: ['n0', 'n1'] },
      play: async (cell) => {
        await clock.tickAsync(1_000)
        cell.killNode('n2')
        await clock.tickAsync(3_000)
        expect(cell.owner?.name).to.be.oneOf(['n0', 'n1'])
        cell.startNode('n2')
        await clock.tickAsync(1_500)
        expect(cell.owner?.name).to.equal('n2')
      }
    },
    {
      name: 'waits for the lease of a worker that is lost before its tasks run elsewhere',
      play: async (cell) => {
        start(cell.submit(ID, [{ count: 1, estimatedRunMs: 3_000 }]))
        await clock.tickAsync(500)
        const worker = [...cell.workers.workers.values()].find(({ runs }) => runs.size > 0)!
        worker.fault = () => 'silent'
        await clock.tickAsync(3_000)
        expect(cell.checker.starts).to.equal(1)
        await clock.tickAsync(8_000)
        expect(cell.checker.starts).to.equal(2)
        expect(await showSoon(cell, ID)).to.equal('completed')
      }
    },
    {
      name: 'starts a task once when the answers to orders are lost or the orders are carried out late',
      play: async (cell) => {
        let calls = 0
        for (const worker of cell.workers.workers.values()) {
          worker.fault = (call) => call === 'start' ? ([undefined, 'lost', 'late'] as const)[calls++ % 3] : undefined
        }
        start(cell.submit(ID, [{ count: 12 }]))
        await clock.tickAsync(10_000)
        expect(await showSoon(cell, ID)).to.equal('completed')
        expect(cell.checker.starts).to.equal(12)
      }
    },
    {
      name: 'stops a run whose start was refused after a copy without an answer, since the copy may be carried out late',
      options: { workers: 2 },
      play: async (cell) => {
        let calls = 0
        for (const worker of cell.workers.workers.values()) {
          worker.fault = (call) => call === 'start' ? ([undefined, 'late', 'unhealthy'] as const)[++calls] : undefined
        }
        start(cell.submit(ID, [{ estimatedRunMs: 6_000 }]))
        await clock.tickAsync(12_000)
        expect(calls).to.equal(3)
        expect(cell.checker.starts).to.equal(1)
        expect(await showSoon(cell, ID)).to.equal('completed')
      }
    },
    {
      name: 'sends no order with a ticket that has expired while the store was away',
      play: async (cell) => {
        const advice = { decisionMs: 20, perWorkerMs: 0, validMs: TICKET_VALID_MS }
        start(cell.submit(ID, [{ count: 4 }], { queue: createQueue('batch', { advice }) }))
        await clock.tickAsync(10)
        for (const { store } of cell.nodes.values()) store.fault = () => 'silent'
        await clock.tickAsync(3_500)
        for (const { store } of cell.nodes.values()) store.fault = () => undefined
        await clock.tickAsync(6_000)
        expect(await showSoon(cell, ID)).to.equal('completed')
        expect(cell.checker.expiredTickets).to.equal(0)
      }
    },
    {
      name: 'lets workers drop ends only when the jobs of all of them are stored',
      options: { storeLatencyMs: 300, planRunEnd: () => ({ reason: 'done', afterMs: 8_000 - performance.now() }) },
      play: async (cell) => {
        const demand = { cpuMillis: 100, memoryMb: 50, accelerators: 0 }
        for (let index = 0; index < 300; index++) start(cell.submit(`00000000000${10_000 + index}`, [{ demand, estimatedRunMs: 8_000 }]))
        await clock.tickAsync(6_000)
        expect(cell.checker.starts).to.equal(300)
        while (performance.now() < 8_700) await clock.tickAsync(10)
        cell.killNode(cell.owner!.name)
        await clock.tickAsync(8_000)
        expect(cell.checker.starts).to.equal(300)
      }
    },
    {
      name: 'repeats a start without an answer soon, while its worker answers looks',
      options: { workers: 1 },
      play: async (cell) => {
        let calls = 0
        const worker = [...cell.workers.workers.values()][0]!
        worker.fault = (call) => call === 'start' && calls++ === 0 ? 'late' : undefined
        start(cell.submit(ID, [{ estimatedRunMs: 10_000 }]))
        await clock.tickAsync(350)
        expect(cell.checker.starts).to.equal(1)
      }
    },
    {
      name: 'loses nothing when answers of the store are lost or writes are carried out late',
      play: async (cell) => {
        let calls = 0
        for (const { store } of cell.nodes.values()) {
          store.fault = (call) => call === 'commit'
            ? ([undefined, 'lost', undefined,
                'late'] as const)[calls++ % 4]
            : undefined
        }
        start(cell.submit(ID, [{ count: 4 }, { count: 4, after: [0] }]))
        await clock.tickAsync(10_000)
        expect(await showSoon(cell, ID)).to.equal('completed')
        expect(cell.checker.starts).to.equal(8)
      }
    },
    {
      name: 'writes through another node while the store turns the owner away',
      play: async (cell) => {
        await clock.tickAsync(2_000)
        const owner = cell.owner!
        owner.store.fault = () => 'refused'
        start(cell.submit(ID, [{ count: 4 }]))
        await clock.tickAsync(3_000)
        expect(cell.owner).to.equal(owner)
        expect(await showSoon(cell, ID)).to.equal('completed')
      }
    },
    {
      name: 'accepts and finishes jobs while half of the partitions of accepted jobs give no answer',
      play: async (cell) => {
        await clock.tickAsync(1_000)
        for (const { store } of cell.nodes.values()) {
          store.fault = (_call, partition) =>
            /^jobs-\d*[02468]$/.test(partition) ? 'silent' : undefined
        }
        const accepted = Promise.all(Array.from({ length: 16 }, (_, index) =>
          cell.submit(`00000000000000b${index.toString(16)}`, [{}])))
        await clock.tickAsync(1_000)
        expect(new Set(await accepted)).to.deep.equal(new Set(['accepted']))
        await clock.tickAsync(4_000)
        expect(await showSoon(cell, '00000000000000b0')).to.equal('completed')
      }
    },
    {
      name: 'takes over while a partition of accepted jobs is away, and stops nothing that it does not know yet',
      play: async (cell) => {
        start(cell.submit(ID, [{ count: 4, estimatedRunMs: 4_000 }]))
        await clock.tickAsync(500)
        for (const { store } of cell.nodes.values()) {
          store.fault = (_call, partition) =>
            partition.startsWith('jobs-') ? 'refused' : undefined
        }
        cell.killNode(cell.owner!.name)
        await clock.tickAsync(7_000)
        expect(await showSoon(cell, ID)).to.equal('completed')
        expect(cell.checker.starts).to.equal(4)
      }
    },
    {
      name: 'refuses at once while the store is out of reach for all nodes',
      play: async (cell) => {
        await clock.tickAsync(1_000)
        for (const { store } of cell.nodes.values()) store.fault = () => 'refused'
        await clock.tickAsync(3_000)
        const answer = cell.submit(ID, [{}])
        await clock.tickAsync(200)
        expect(await answer).to.equal('refused')
      }
    },
    {
      name: 'hands the cell over without a gap when the owner resigns',
      play: async (cell) => {
        await clock.tickAsync(1_000)
        const { name, cell: node } = cell.owner!
        start(node.resign())
        await clock.tickAsync(200)
        expect(cell.owner?.name).not.to.equal(name)
        expect(cell.owner).not.to.equal(undefined)
      }
    },
    {
      name: 'stops the tasks of a cancelled job',
      play: async (cell) => {
        start(cell.submit(ID, [{ count: 3, estimatedRunMs: 60_000 }]))
        await clock.tickAsync(500)
        start(cell.cancel(ID))
        await clock.tickAsync(1_000)
        expect(await showSoon(cell, ID)).to.equal('cancelled')
        for (let index = 0; index < 3; index++) expect(cell.checker.countRunning(`${ID}.0.0.${index}`)).to.equal(0)
      }
    },
    {
      name: 'stops the tasks of a job that is cancelled while a new owner still reads what the old one stored',
      options: { storeLatencyMs: 50 },
      play: async (cell) => {
        start(cell.submit(ID, [{ count: 3, estimatedRunMs: 60_000 }]))
        await clock.tickAsync(1_000)
        expect(cell.checker.countRunning(`${ID}.0.0.0`)).to.equal(1)
        cell.killNode(cell.owner!.name)
        while (cell.owner === undefined) await clock.tickAsync(5)
        await cell.owner.cell.handlers()['cell.cancel']({ id: ID })
        await clock.tickAsync(2_000)
        expect(await showSoon(cell, ID)).to.equal('cancelled')
        for (let index = 0; index < 3; index++) expect(cell.checker.countRunning(`${ID}.0.0.${index}`)).to.equal(0)
      }
    },
    {
      name: 'starts nothing where tasks of a cancelled job are still being stopped when the owner changes',
      options: { workers: 1 },
      play: async (cell) => {
        const whole = { demand: { cpuMillis: 16_000, memoryMb: 100, accelerators: 0 }, estimatedRunMs: 60_000 }
        start(cell.submit(ID, [whole]))
        await clock.tickAsync(300)
        start(cell.submit('00000000000000a2', [{ ...whole, estimatedRunMs: 500 }]))
        await clock.tickAsync(300)
        start(cell.cancel(ID))
        await clock.tickAsync(60)
        start(cell.owner!.cell.resign())
        await clock.tickAsync(4_000)
        expect(await showSoon(cell, '00000000000000a2')).to.equal('completed')
      }
    },
    {
      name: 'shows a job as failed after as many failures of a task as its queue allows',
      options: { planRunEnd: () => ({ reason: 'failed', afterMs: 50 }), workers: 6 },
      play: async (cell) => {
        start(cell.submit(ID, [{}], { queue: createQueue('batch', { maxAttempts: 2 }) }))
        await clock.tickAsync(6_000)
        expect(await showSoon(cell, ID)).to.equal('failed')
        expect(cell.checker.starts).to.equal(2)
      }
    },
    {
      name: 'starts a long-running task again however it ended',
      options: { planRunEnd: (key, run) => run < 3 ? { reason: 'done', afterMs: 300 } : undefined },
      play: async (cell) => {
        start(cell.submit(ID, [{ longRunning: true }]))
        await clock.tickAsync(3_000)
        expect(cell.checker.starts).to.equal(3)
        expect(await showSoon(cell, ID)).to.equal('running')
      }
    },
    {
      name: 'starts a gang only when all its tasks find room',
      options: { workers: 2 },
      play: async (cell) => {
        const big = { demand: { cpuMillis: 16_000, memoryMb: 100, accelerators: 0 } }
        start(cell.submit(ID, [{ ...big, estimatedRunMs: 2_000 }]))
        await clock.tickAsync(300)
        start(cell.submit('00000000000000a2', [{ ...big, count: 2, gang: true }]))
        await clock.tickAsync(1_000)
        expect(cell.checker.starts).to.equal(1)
        await clock.tickAsync(4_000)
        expect(await showSoon(cell, '00000000000000a2')).to.equal('completed')
      }
    },
    {
      name: 'reads on from the tables when the store has dropped its history',
      play: async (cell) => {
        await clock.tickAsync(1_000)
        cell.rows.compact()
        const other = [...cell.nodes.values()].find(({ cell: node }) => !node.isOwner)!
        start(cell.submit(ID, [{}], { node: other.name }))
        await clock.tickAsync(100)
        cell.rows.compact()
        await clock.tickAsync(5_000)
        expect(await showSoon(cell, ID)).to.equal('completed')
      }
    }
  ]

  for (const { name, play, options } of cases) {
    it(name, async () => {
      const cell = new MemoryCell(options)
      await clock.tickAsync(1_500)
      await play(cell)
      expect(cell.checker.violations).to.deep.equal([])
      const stopped = cell.stop()
      await clock.tickAsync(5_000)
      await stopped
    })
  }

  async function showSoon (cell: MemoryCell, id: string): Promise<string | undefined> {
    const shown = cell.show(id)
    await clock.tickAsync(300)
    return await shown
  }
})
