import { install, type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import { MemoryCell, TICKET_VALID_MS, createQueue, type StoreFault } from '../standins/index.ts'

const ID = '00000000000000a1'

/** Starts a call without waiting for it; it proceeds as the clock is advanced. */
function runInBackground (call: Promise<unknown>): void {
  call.catch((error) => { throw error })
}

describe('CellNode', () => {
  let clock: Clock
  beforeEach(() => { clock = install() })
  afterEach(() => clock.uninstall())

  const cases: Array<{
    name: string,
    run: (cell: MemoryCell) => Promise<void>,
    options?: ConstructorParameters<typeof MemoryCell>[0]
  }> = [
    {
      name: 'stores and starts an urgent job before a backlog of less urgent ones while the store is slow',
      options: { storeLatencyMs: 400, workers: 8 },
      run: async (cell) => {
        const demand = { cpuMillis: 100, memoryMb: 50, accelerators: 0 }
        const queue = createQueue('batch', { priority: 2 })
        for (let index = 0; index < 300; index++) {
          runInBackground(cell.submit(`00000000000${10_000 + index}`, [{ demand }], { queue }))
        }
        await clock.tickAsync(500)
        runInBackground(cell.submit(ID, [{ demand }]))
        await clock.tickAsync(1_300)
        expect(cell.checker.countRunning(`${ID}.0.0.0`)).to.equal(1)
        expect(cell.checker.starts).to.be.lessThan(300)
      }
    },
    {
      name: 'divides the changes of many jobs into commits that a slow link can transfer',
      options: { storeLatencyMs: 400, weakNodes: ['n0', 'n1', 'n2'] },
      run: async (cell) => {
        await clock.tickAsync(2_000)
        const commitSizes: number[] = []
        const { store } = cell.owner!
        const commitDirectly = store.commit.bind(store)
        store.commit = async (commit) => {
          if (commit.partition === 'cell') commitSizes.push(sum(commit.puts.map(({ value }) => value.length)))
          return await commitDirectly(commit)
        }
        const steps = Array.from({ length: 40 }, () => ({ demand: { cpuMillis: 1, memoryMb: 1, accelerators: 0 } }))
        for (let index = 0; index < 90; index++) runInBackground(cell.submit(`00000000000${10_000 + index}`, steps))
        await clock.tickAsync(5_000)
        expect(sum(commitSizes)).to.be.greaterThan(200_000)
        // 50 ms at 7 Mbit/s, and the row that crosses the limit.
        expect(Math.max(...commitSizes)).to.be.lessThan(45_000)
      }
    },
    {
      name: 'runs the steps of a job in order and reports it as completed',
      run: async (cell) => {
        const accepted = cell.submit(ID, [{ count: 3 }, { count: 2, after: [0] }])
        await clock.tickAsync(100)
        expect(await accepted).to.equal('accepted')
        await clock.tickAsync(3_000)
        expect(await fetchState(cell, ID)).to.equal('completed')
      }
    },
    {
      name: 'accepts a job that is submitted at two nodes at the same time, and runs it once',
      run: async (cell) => {
        const both = Promise.all([cell.submit(ID, [{}], { node: 'n0' }), cell.submit(ID, [{}], { node: 'n1' })])
        await clock.tickAsync(200)
        expect(await both).to.deep.equal(['accepted', 'accepted'])
        await clock.tickAsync(3_000)
        expect(cell.checker.starts).to.equal(1)
      }
    },
    {
      name: 'continues within three seconds after the owner is killed and starts no task twice',
      run: async (cell) => {
        runInBackground(cell.submit(ID, [{ count: 4 }, { count: 4, after: [0] }]))
        await clock.tickAsync(500)
        cell.killNode(cell.owner!.name)
        await clock.tickAsync(3_000)
        expect(cell.owner).not.to.equal(undefined)
        await clock.tickAsync(2_000)
        expect(await fetchState(cell, ID)).to.equal('completed')
        expect(cell.checker.starts).to.equal(8)
      }
    },
    {
      name: 'recovers jobs and running tasks from the store when all nodes are killed at once',
      run: async (cell) => {
        runInBackground(cell.submit(ID, [{ count: 4, estimatedRunMs: 4_000 }]))
        await clock.tickAsync(500)
        for (const name of [...cell.nodes.keys()]) cell.killNode(name)
        await clock.tickAsync(300)
        for (const name of [...cell.nodes.keys()]) cell.startNode(name)
        await clock.tickAsync(6_000)
        expect(await fetchState(cell, ID)).to.equal('completed')
        expect(cell.checker.starts).to.equal(4)
      }
    },
    {
      name: 'reports the state of ended jobs after a takeover from progress rows without the job specification',
      run: async (cell) => {
        runInBackground(cell.submit(ID, [{ count: 3 }]))
        await clock.tickAsync(3_000)
        const row = cell.rows.rows.get(`progress/cell/${ID}`)
        expect(row?.value?.length).to.be.lessThan(100)
        cell.killNode(cell.owner!.name)
        await clock.tickAsync(3_000)
        expect(await fetchState(cell, ID)).to.equal('completed')
        expect(cell.checker.starts).to.equal(3)
      }
    },
    {
      name: 'does not rerun an ended job that expires while its job row can not be removed, and removes its rows later',
      run: async (cell) => {
        runInBackground(cell.submit(ID, [{}]))
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
      name: 'counts a job as pending until a worker has confirmed the start of a task',
      options: { workers: 1 },
      run: async (cell) => {
        const worker = [...cell.workers.workers.values()][0]!
        worker.fault = (call) => call === 'start' ? 'silent' : undefined
        runInBackground(cell.submit(ID, [{ estimatedRunMs: 10_000 }]))
        await clock.tickAsync(1_000)
        expect(await cell.owner!.cellNode.jobs.countPending('batch')).to.equal(1)
        worker.fault = () => undefined
        await clock.tickAsync(1_500)
        expect(await cell.owner!.cellNode.jobs.countPending('batch')).to.equal(0)
        cell.killNode(cell.owner!.name)
        await clock.tickAsync(3_000)
        expect(await cell.owner!.cellNode.jobs.countPending('batch')).to.equal(0)
      }
    },
    {
      name: 'runs jobs from reachable partitions while five other partitions give no answer',
      run: async (cell) => {
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
        const stored = (id: string) =>
          [...cell.rows.rows.values()].find(({ table, key }) => table === 'jobs' && key === id)
        const reachable = ids.filter((id) => !partitions.includes(stored(id)!.partition))
        for (const id of reachable) expect(await fetchState(cell, id), id).to.equal('completed')
        expect(reachable).to.have.length.greaterThan(5)
      }
    },
    {
      name: 'reports no number of pending jobs before all accepted jobs were read',
      run: async (cell) => {
        const injectFault = (fault: (partition: string) => StoreFault) => {
          for (const { store } of cell.nodes.values()) store.fault = (_call, partition) => fault(partition)
        }
        cell.killNode(cell.owner!.name)
        runInBackground(cell.submit(ID, [{ demand: { cpuMillis: 99_000, memoryMb: 1, accelerators: 0 } }]))
        await clock.tickAsync(100)
        injectFault((partition) => partition.startsWith('jobs-') ? 'refused' : undefined)
        await clock.tickAsync(3_000)
        expect(await cell.owner!.cellNode.jobs.countPending('batch')).to.equal(undefined)
        injectFault(() => undefined)
        await clock.tickAsync(1_000)
        expect(await cell.owner!.cellNode.jobs.countPending('batch')).to.equal(1)
      }
    },
    {
      name: 'lets a node with enough processors and bandwidth take the cell over before weaker ones',
      options: { nodes: 3, weakNodes: ['n0', 'n1'] },
      run: async (cell) => {
        await clock.tickAsync(1_000)
        expect(cell.owner?.name).to.equal('n2')
      }
    },
    {
      name: 'hands the cell from a weak owner to a stronger node as soon as that one is up',
      options: { nodes: 3, weakNodes: ['n0', 'n1'] },
      run: async (cell) => {
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
      name: 'waits until the lease of a lost worker has expired before it restarts its tasks elsewhere',
      run: async (cell) => {
        runInBackground(cell.submit(ID, [{ count: 1, estimatedRunMs: 3_000 }]))
        await clock.tickAsync(500)
        const worker = [...cell.workers.workers.values()].find(({ runs }) => runs.size > 0)!
        worker.fault = () => 'silent'
        await clock.tickAsync(3_000)
        expect(cell.checker.starts).to.equal(1)
        await clock.tickAsync(8_000)
        expect(cell.checker.starts).to.equal(2)
        expect(await fetchState(cell, ID)).to.equal('completed')
      }
    },
    {
      name: 'starts each task once when answers to start orders are lost or the orders are executed late',
      run: async (cell) => {
        let calls = 0
        for (const worker of cell.workers.workers.values()) {
          worker.fault = (call) => call === 'start' ? ([undefined, 'lost', 'late'] as const)[calls++ % 3] : undefined
        }
        runInBackground(cell.submit(ID, [{ count: 12 }]))
        await clock.tickAsync(10_000)
        expect(await fetchState(cell, ID)).to.equal('completed')
        expect(cell.checker.starts).to.equal(12)
      }
    },
    {
      name: 'stops a run when a retry of its start was refused, since the unanswered first order may still be executed',
      options: { workers: 2 },
      run: async (cell) => {
        let calls = 0
        for (const worker of cell.workers.workers.values()) {
          worker.fault = (call) => call === 'start' ? ([undefined, 'late', 'unhealthy'] as const)[++calls] : undefined
        }
        runInBackground(cell.submit(ID, [{ estimatedRunMs: 6_000 }]))
        await clock.tickAsync(12_000)
        expect(calls).to.equal(3)
        expect(cell.checker.starts).to.equal(1)
        expect(await fetchState(cell, ID)).to.equal('completed')
      }
    },
    {
      name: 'sends no start order with a ticket that expired while the store was unreachable',
      run: async (cell) => {
        const advice = { decisionMs: 20, perWorkerMs: 0, validMs: TICKET_VALID_MS }
        runInBackground(cell.submit(ID, [{ count: 4 }], { queue: createQueue('batch', { advice }) }))
        await clock.tickAsync(10)
        for (const { store } of cell.nodes.values()) store.fault = () => 'silent'
        await clock.tickAsync(3_500)
        for (const { store } of cell.nodes.values()) store.fault = () => undefined
        await clock.tickAsync(6_000)
        expect(await fetchState(cell, ID)).to.equal('completed')
        expect(cell.checker.expiredTickets).to.equal(0)
      }
    },
    {
      name: 'acknowledges ended runs to workers only after the progress of their jobs is stored',
      options: { storeLatencyMs: 300, planRunEnd: () => ({ reason: 'done', afterMs: 8_000 - performance.now() }) },
      run: async (cell) => {
        const demand = { cpuMillis: 100, memoryMb: 50, accelerators: 0 }
        for (let index = 0; index < 300; index++) {
          runInBackground(cell.submit(`00000000000${10_000 + index}`, [{ demand, estimatedRunMs: 8_000 }]))
        }
        await clock.tickAsync(6_000)
        expect(cell.checker.starts).to.equal(300)
        while (performance.now() < 8_700) await clock.tickAsync(10)
        cell.killNode(cell.owner!.name)
        await clock.tickAsync(8_000)
        expect(cell.checker.starts).to.equal(300)
      }
    },
    {
      name: 'retries an unanswered start order within 350 ms while the worker answers other calls',
      options: { workers: 1 },
      run: async (cell) => {
        let calls = 0
        const worker = [...cell.workers.workers.values()][0]!
        worker.fault = (call) => call === 'start' && calls++ === 0 ? 'late' : undefined
        runInBackground(cell.submit(ID, [{ estimatedRunMs: 10_000 }]))
        await clock.tickAsync(350)
        expect(cell.checker.starts).to.equal(1)
      }
    },
    {
      name: 'loses and repeats no task when answers of the store are lost or writes are applied late',
      run: async (cell) => {
        let calls = 0
        for (const { store } of cell.nodes.values()) {
          store.fault = (call) => call === 'commit'
            ? ([undefined, 'lost', undefined,
                'late'] as const)[calls++ % 4]
            : undefined
        }
        runInBackground(cell.submit(ID, [{ count: 4 }, { count: 4, after: [0] }]))
        await clock.tickAsync(10_000)
        expect(await fetchState(cell, ID)).to.equal('completed')
        expect(cell.checker.starts).to.equal(8)
      }
    },
    {
      name: 'writes through another node while the store refuses calls of the owner',
      run: async (cell) => {
        await clock.tickAsync(2_000)
        const owner = cell.owner!
        owner.store.fault = () => 'refused'
        runInBackground(cell.submit(ID, [{ count: 4 }]))
        await clock.tickAsync(3_000)
        expect(cell.owner).to.equal(owner)
        expect(await fetchState(cell, ID)).to.equal('completed')
      }
    },
    {
      name: 'writes through a node with a fast link again as soon as that one reaches the store',
      options: { nodes: 4, weakNodes: ['n0', 'n1'] },
      run: async (cell) => {
        await clock.tickAsync(2_000)
        const owner = cell.owner!
        const strong = [...cell.nodes.values()].find(({ name }) => name !== owner.name && ['n2', 'n3'].includes(name))!
        owner.store.fault = () => 'refused'
        strong.store.fault = () => 'refused'
        await clock.tickAsync(1_000)
        const relays = new Set<string>()
        for (const { name, store } of cell.nodes.values()) {
          if (name === owner.name) continue
          store.fault = (call, partition) => {
            if (call === 'commit' && partition === 'cell') relays.add(name)
            return undefined
          }
        }
        await clock.tickAsync(4_000)
        relays.clear()
        runInBackground(cell.submit(ID, [{ count: 4 }]))
        await clock.tickAsync(3_000)
        expect(await fetchState(cell, ID)).to.equal('completed')
        expect([...relays]).to.deep.equal([strong.name])
      }
    },
    {
      name: 'accepts and finishes jobs while half of the partitions of accepted jobs give no answer',
      run: async (cell) => {
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
        expect(await fetchState(cell, '00000000000000b0')).to.equal('completed')
      }
    },
    {
      name: 'takes over while the partitions of accepted jobs are unreachable and stops no runs of jobs not read yet',
      run: async (cell) => {
        runInBackground(cell.submit(ID, [{ count: 4, estimatedRunMs: 4_000 }]))
        await clock.tickAsync(500)
        for (const { store } of cell.nodes.values()) {
          store.fault = (_call, partition) =>
            partition.startsWith('jobs-') ? 'refused' : undefined
        }
        cell.killNode(cell.owner!.name)
        await clock.tickAsync(7_000)
        expect(await fetchState(cell, ID)).to.equal('completed')
        expect(cell.checker.starts).to.equal(4)
      }
    },
    {
      name: 'refuses jobs at once while the store is unreachable for all nodes',
      run: async (cell) => {
        await clock.tickAsync(1_000)
        for (const { store } of cell.nodes.values()) store.fault = () => 'refused'
        await clock.tickAsync(3_000)
        const answer = cell.submit(ID, [{}])
        await clock.tickAsync(200)
        expect(await answer).to.equal('refused')
      }
    },
    {
      // Another node took the cell over 0.45 s after a transfer, before the new owner had made a commit.
      name: 'renews the record of a transferred ownership at once',
      run: async (cell) => {
        await clock.tickAsync(1_000)
        const former = cell.owner!
        const handover = former.cellNode.resign()
        const countWrites = () => cell.rows.history.filter(({ table, key }) => table === 'control' && key === 'owner').length
        while (cell.owner === undefined || cell.owner === former) await clock.tickAsync(1)
        const writes = countWrites()
        await clock.tickAsync(60)
        await handover
        expect(countWrites()).to.be.greaterThan(writes)
      }
    },
    {
      name: 'has a new owner within 200 ms after the owner resigns',
      run: async (cell) => {
        await clock.tickAsync(1_000)
        const { name, cellNode } = cell.owner!
        runInBackground(cellNode.resign())
        await clock.tickAsync(200)
        expect(cell.owner?.name).not.to.equal(name)
        expect(cell.owner).not.to.equal(undefined)
      }
    },
    {
      name: 'stops the tasks of a cancelled job',
      run: async (cell) => {
        runInBackground(cell.submit(ID, [{ count: 3, estimatedRunMs: 60_000 }]))
        await clock.tickAsync(500)
        runInBackground(cell.cancel(ID))
        await clock.tickAsync(1_000)
        expect(await fetchState(cell, ID)).to.equal('cancelled')
        for (let index = 0; index < 3; index++) expect(cell.checker.countRunning(`${ID}.0.0.${index}`)).to.equal(0)
      }
    },
    {
      name: 'stops the tasks of a job that is cancelled while a new owner is still recovering the cell',
      options: { storeLatencyMs: 50 },
      run: async (cell) => {
        runInBackground(cell.submit(ID, [{ count: 3, estimatedRunMs: 60_000 }]))
        await clock.tickAsync(1_000)
        expect(cell.checker.countRunning(`${ID}.0.0.0`)).to.equal(1)
        cell.killNode(cell.owner!.name)
        while (cell.owner === undefined) await clock.tickAsync(5)
        await cell.owner.cellNode.handlers()['cell.cancel']({ id: ID })
        await clock.tickAsync(2_000)
        expect(await fetchState(cell, ID)).to.equal('cancelled')
        for (let index = 0; index < 3; index++) expect(cell.checker.countRunning(`${ID}.0.0.${index}`)).to.equal(0)
      }
    },
    {
      name: 'keeps capacity reserved across a change of owner for cancelled tasks that are still being stopped',
      options: { workers: 1 },
      run: async (cell) => {
        const whole = { demand: { cpuMillis: 16_000, memoryMb: 100, accelerators: 0 }, estimatedRunMs: 60_000 }
        runInBackground(cell.submit(ID, [whole]))
        await clock.tickAsync(300)
        runInBackground(cell.submit('00000000000000a2', [{ ...whole, estimatedRunMs: 500 }]))
        await clock.tickAsync(300)
        runInBackground(cell.cancel(ID))
        await clock.tickAsync(60)
        runInBackground(cell.owner!.cellNode.resign())
        await clock.tickAsync(4_000)
        expect(await fetchState(cell, '00000000000000a2')).to.equal('completed')
      }
    },
    {
      name: 'reports a job as failed after a task has used up the attempts that its queue allows',
      options: { planRunEnd: () => ({ reason: 'failed', afterMs: 50 }), workers: 6 },
      run: async (cell) => {
        runInBackground(cell.submit(ID, [{}], { queue: createQueue('batch', { maxAttempts: 2 }) }))
        await clock.tickAsync(6_000)
        expect(await fetchState(cell, ID)).to.equal('failed')
        expect(cell.checker.starts).to.equal(2)
      }
    },
    {
      name: 'restarts a long-running task even when it ended successfully',
      options: { planRunEnd: (key, run) => run < 3 ? { reason: 'done', afterMs: 300 } : undefined },
      run: async (cell) => {
        runInBackground(cell.submit(ID, [{ longRunning: true }]))
        await clock.tickAsync(3_000)
        expect(cell.checker.starts).to.equal(3)
        expect(await fetchState(cell, ID)).to.equal('running')
      }
    },
    {
      name: 'starts a gang only when all its tasks fit at the same time',
      options: { workers: 2 },
      run: async (cell) => {
        const big = { demand: { cpuMillis: 16_000, memoryMb: 100, accelerators: 0 } }
        runInBackground(cell.submit(ID, [{ ...big, estimatedRunMs: 2_000 }]))
        await clock.tickAsync(300)
        runInBackground(cell.submit('00000000000000a2', [{ ...big, count: 2, gang: true }]))
        await clock.tickAsync(1_000)
        expect(cell.checker.starts).to.equal(1)
        await clock.tickAsync(4_000)
        expect(await fetchState(cell, '00000000000000a2')).to.equal('completed')
      }
    },
    {
      name: 'falls back to reading whole tables when the store has compacted its change history',
      run: async (cell) => {
        await clock.tickAsync(1_000)
        cell.rows.compact()
        const other = [...cell.nodes.values()].find(({ cellNode }) => !cellNode.isOwner)!
        runInBackground(cell.submit(ID, [{}], { node: other.name }))
        await clock.tickAsync(100)
        cell.rows.compact()
        await clock.tickAsync(5_000)
        expect(await fetchState(cell, ID)).to.equal('completed')
      }
    }
  ]

  for (const { name, run, options } of cases) {
    it(name, async () => {
      const cell = new MemoryCell(options)
      await clock.tickAsync(1_500)
      await run(cell)
      expect(cell.checker.violations).to.deep.equal([])
      const stopped = cell.stop()
      await clock.tickAsync(5_000)
      await stopped
    })
  }

  async function fetchState (cell: MemoryCell, id: string): Promise<string | undefined> {
    const state = cell.show(id)
    await clock.tickAsync(300)
    return await state
  }
})

function sum (values: number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
