import { expect } from 'chai'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xorshift128plus } from 'pure-rand/generator/xorshift128plus'
import { SLOT, TestCell, type TestProcess } from './testSupport/index.ts'

const FIRST_SEED = Number(process.env['HISTORY_SEED'] ?? 1)
const SEEDS = Number(process.env['HISTORY_SEEDS'] ?? 12)
const STEPS = 40
const PRIORITIES = ['urgent', 'normal', 'low'] as const

const WORKLOADS = [
  { id: 'batch', tasks: 8, payload: { runMs: 25_000 } },
  { id: 'gang', kind: 'gang' as const, tasks: 3, payload: { runMs: 40_000 } }
]

function listTasks (workload: string, tasks: number): string[] {
  return Array.from({ length: tasks }, (_, index) => `s/${workload}/${index}`)
}

/** A sequence of random faults that is determined by the seed alone. */
class FaultScenario {
  readonly cell = new TestCell(5)
  readonly #random
  #processCount = 0
  readonly #extra: string[] = []
  readonly #cancelled = new Set<string>()
  readonly #removed = new Set<string>()
  #service = { id: 'web', kind: 'service' as const, tasks: 2, resources: SLOT, payload: {} }

  constructor (seed: number) {
    this.#random = xorshift128plus(seed)
    for (let index = 0; index < 3; index++) this.#startProcess()
    this.#configure()
  }

  async runFaults (): Promise<void> {
    for (let step = 0; step < STEPS; step++) {
      this.#injectFault()
      await this.cell.run(this.#below(12_000))
      if (this.cell.violations.length > 0) return
    }
  }

  /** Ends all faults: resumes processes, restores connections and makes every worker available. */
  clearFaults (): void {
    const { cell } = this
    cell.table.faults.clear()
    cell.objects.faults.clear()
    for (const worker of cell.workers.values()) worker.faults.clear()
    for (const process of cell.processes.values()) {
      process.resume()
      process.links.clear()
    }
    for (const id of cell.workers.keys()) cell.listMachine(id, 'live')
  }

  /** Tasks that still have to succeed after the faults have ended. */
  get unfinished (): string[] {
    const batches = ['batch', ...this.#extra].filter((id) => !this.#cancelled.has(id) && !this.#removed.has(id))
    const tasks = batches.flatMap((id) => listTasks(id, id === 'batch' ? 8 : 2))
    return [...tasks, ...listTasks('gang', 3)].filter((task) => !this.cell.recordedSuccesses.has(task))
  }

  /** True when the configured number of service tasks runs, each with the configured resources. */
  get isServiceComplete (): boolean {
    const { tasks, resources } = this.#service
    const running = [...this.cell.running].filter(([task]) => task.startsWith('s/web@hall/')).flatMap(([, here]) => here)
    return running.length === tasks && running.every(({ report }) => report.resources.cpuMillis === resources.cpuMillis)
  }

  #injectFault (): void {
    const { cell } = this
    const process = this.#pick([...cell.processes.values()])
    const workerId = this.#pick([...cell.workers.keys()])
    const worker = cell.worker(workerId)
    const faults: Array<() => void> = [
      () => this.#replaceProcess(process),
      () => process.pause(),
      () => process.resume(),
      () => { process.link(workerId).cut = !process.link(workerId).cut },
      () => { process.link(workerId).losesResponses = !process.link(workerId).losesResponses },
      () => { process.link(workerId).delaysStartsMs = this.#below(2) * this.#below(9_000) },
      () => { process.link(workerId).refusesStarts = !process.link(workerId).refusesStarts },
      () => { process.link('table').cut = !process.link('table').cut },
      () => { process.link('table').losesResponses = !process.link('table').losesResponses },
      () => cell.table.faults.set({ down: !cell.table.faults.settings.down }),
      () => cell.table.faults.set({ delayMs: this.#below(1_500) }),
      () => cell.table.faults.set({ loseAnswers: this.#below(50) / 100 }),
      () => cell.objects.faults.set({ down: !cell.objects.faults.settings.down }),
      () => worker.faults.set({ loseAnswers: this.#below(50) / 100 }),
      () => worker.faults.set({ delayMs: this.#below(2_000) }),
      () => { if (worker.faults.settings.down) worker.faults.clear(); else worker.fail() },
      () => cell.listMachine(workerId, this.#below(2) === 0 ? 'live' : 'leaving'),
      () => this.#addWorkload(),
      () => this.#cancelWorkload(),
      () => this.#toggleWorkload(),
      () => this.#changeService(),
      () => this.clearFaults()
    ]
    this.#pick(faults)()
  }

  #startProcess (): void {
    this.cell.startProcess(`p${this.#processCount++}`)
  }

  #replaceProcess (process: TestProcess): void {
    process.kill()
    this.cell.processes.delete(process.id)
    this.#startProcess()
  }

  #addWorkload (): void {
    this.#extra.push(`extra${this.#extra.length}`)
    this.#configure()
  }

  #cancelWorkload (): void {
    if (this.#extra.length === 0) return
    this.#cancelled.add(this.#pick(this.#extra))
    this.#configure()
  }

  /** Removes a workload from the configuration or adds it again. */
  #toggleWorkload (): void {
    if (this.#extra.length === 0) return
    const id = this.#pick(this.#extra)
    if (!this.#removed.delete(id)) this.#removed.add(id)
    this.#configure()
  }

  #changeService (): void {
    const resources = { ...SLOT, cpuMillis: 500 + 250 * this.#below(3) }
    this.#service = { ...this.#service, tasks: 1 + this.#below(4), resources }
    this.#configure()
  }

  #configure (): void {
    const present = this.#extra.filter((id) => !this.#removed.has(id))
    const extra = present.map((id, index) => (
      { id, tasks: 2, preemptible: true, priority: PRIORITIES[index % 3], payload: { runMs: 10_000 } }))
    this.cell.configure([...WORKLOADS, this.#service, ...extra], [...this.#cancelled])
  }

  #below (limit: number): number {
    return uniformInt(this.#random, 0, limit - 1)
  }

  #pick<Item> (items: Item[]): Item {
    return items[this.#below(items.length)] as Item
  }
}

describe('scheduler under random faults', () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    it(`runs no task twice at once, overcommits no worker and finishes everything (seed ${seed})`, async () => {
      const scenario = new FaultScenario(seed)
      const { cell } = scenario
      try {
        await scenario.runFaults()
        expect(cell.violations, `seed ${seed}`).to.deep.equal([])
        scenario.clearFaults()
        const isFinished = () => scenario.unfinished.length === 0 && scenario.isServiceComplete
        const finished = await cell.runUntil(isFinished, 600_000)
        expect(cell.violations, `seed ${seed}`).to.deep.equal([])
        const { unfinished, isServiceComplete } = scenario
        expect({ finished, unfinished, isServiceComplete }, `seed ${seed}`)
          .to.deep.equal({ finished: true, unfinished: [], isServiceComplete: true })
        // Longer than (run horizon + task lease) x 1.03, after which the state of every attempt is known.
        await cell.run(170_000)
        const starts = cell.starts.length
        await cell.run(60_000)
        expect(cell.starts.slice(starts), `seed ${seed}: starts after all work had ended`).to.deep.equal([])
      } finally {
        cell.close()
      }
    })
  }
})
