import fc from 'fast-check'
import type { PriorityClass, Resources, Spread, WorkloadKind } from '@gypsumspring/protocol'
import type { Placer, PlacementDecision, QuotaClaim, WorkerNode } from '../../types.ts'
import { CellModel } from './CellModel.ts'

export const STEP_KINDS = [
  'submit', 'submit', 'submit', 'decide', 'decide', 'decide', 'completeTask', 'completeTask', 'failTask', 'stopVictim',
  'cancelGroup', 'loseWorker', 'addWorker', 'toggleWorker', 'recordUsage', 'requeuePlaced', 'recordLateOutcome',
  'restore', 'setQuotas', 'setClaims', 'setPackingWeight'
] as const

/** A step of a random history; its method derives the arguments from the numbers `a`, `b` and `c`. */
export type Step = { kind: typeof STEP_KINDS[number], a: number, b: number, c: number }

/** Arbitrary histories of at least half of `length` steps. */
export const arbitrarySteps = (length: number): fc.Arbitrary<Step[]> => fc.array(
  fc.record({ kind: fc.constantFrom(...STEP_KINDS), a: fc.nat(999), b: fc.nat(999), c: fc.nat(999) }),
  { minLength: length / 2, maxLength: length, size: 'max' }
)

const DOMAINS = ['one', 'two', 'three']
const PRIORITIES: PriorityClass[] = ['urgent', 'high', 'normal', 'low']
const KINDS: WorkloadKind[] = ['batch', 'gang', 'batch', 'service', 'gang']
const SPREADS: Spread[] = ['none', 'none', 'rack', 'failure-domain']

/**
 * Runs a random history on one or more placers that get the same calls. `decide` makes the decisions, which are checked
 * against the model.
 */
export class HistoryRunner {
  readonly model = new CellModel()
  readonly #placers: Placer[]
  readonly #decide: (now: number) => PlacementDecision[]
  readonly #requeuedWhilePlaced = new Set<string>()
  #now = 1000
  #count = 0

  constructor (placers: Placer[], decide: (now: number) => PlacementDecision[]) {
    this.#placers = placers
    this.#decide = decide
    for (let index = 0; index < 6; index++) this.#createWorker(index, index * 7)
  }

  run (history: Step[]): void {
    for (const step of history) this[step.kind](step)
  }

  submit ({ a, b, c }: Step): void {
    const id = `g${this.#count++}`
    const kind = KINDS[a % 5]!
    const tasks = Array.from({ length: 1 + c % 4 }, (_, index) => `${id}-${index}`)
    const group = {
      id,
      team: `team-${a % 3}`,
      kind,
      priority: PRIORITIES[b % 4]!,
      spread: SPREADS[(a >> 2) % 4]!,
      preemptible: b % 3 > 0,
      resources: {
        cpuMillis: 500 * (1 + b % 7) + b % 2,
        memoryMb: 256 * (1 + c % 9),
        accelerators: a % 6 === 0 ? 1 + c % 2 : 0
      },
      tasks,
      ...(c % 5 === 0 ? { failureDomains: [DOMAINS[b % 3]!, 'unknown'] } : {}),
      ...(c % 3 > 0 ? { estimatedRunMs: 1000 * (1 + b % 50) } : {}),
      submittedAt: this.#now - a % 3
    }
    this.model.groups.set(id, group)
    for (const task of tasks) {
      this.model.groupByTask.set(task, group)
      this.model.waiting.add(task)
    }
    this.#forEachPlacer((placer) => placer.submit(group))
  }

  decide ({ a }: Step): void {
    this.#now += a * 20
    for (const decision of this.#decide(this.#now)) this.model.apply(decision)
  }

  completeTask ({ a }: Step): void {
    this.#withTask(a, (task, worker) => {
      this.#forEachPlacer((placer) => placer.recordOutcome(task, worker, { succeeded: true, runMs: a * 10 }))
      this.#release(task)
    })
  }

  failTask ({ a, b }: Step): void {
    this.#withTask(a, (task, worker) => {
      const isRequeuedFirst = b % 2 === 0
      if (isRequeuedFirst) this.#requeue(task)
      this.#release(task)
      this.#forEachPlacer((placer) => placer.recordOutcome(task, worker, { succeeded: false, runMs: 5 }))
      if (!isRequeuedFirst) this.#requeue(task)
    })
  }

  /** Requeues a placed task: the caller gives up the attempt before the worker is known to have ended it. */
  requeuePlaced ({ a }: Step): void {
    this.#withTask(a, (task) => {
      this.#requeuedWhilePlaced.add(task)
      this.#forEachPlacer((placer) => placer.requeue(task, this.#now))
    })
  }

  stopVictim ({ a }: Step): void {
    const victim = pick([...this.model.victims], a)
    if (victim === undefined) return
    this.#release(victim)
    this.#requeue(victim)
  }

  cancelGroup ({ a }: Step): void {
    const group = pick([...this.model.groups.values()], a)
    if (group === undefined) return
    const placed = group.tasks.filter((task) => this.model.placed.has(task))
    this.#forEachPlacer((placer) => {
      const returned = placer.cancel(group.id)
      if (returned.join() !== placed.join()) throw new Error(`cancel returned ${returned.join()}, expected ${placed.join()}`)
    })
    for (const task of group.tasks) this.model.waiting.delete(task)
    this.model.groups.delete(group.id)
  }

  loseWorker ({ a, b }: Step): void {
    const worker = pick([...this.model.workers.keys()], a)
    if (worker === undefined || this.model.workers.size < 3) return
    for (const [task, on] of [...this.model.placed]) {
      if (on !== worker) continue
      this.#release(task)
      if (b % 3 > 0) this.#requeue(task)
    }
    this.model.workers.delete(worker)
    this.model.unavailable.delete(worker)
    this.#forEachPlacer((placer) => placer.removeWorker(worker))
  }

  addWorker ({ a, b }: Step): void {
    if (this.model.workers.size < 12) this.#createWorker(a, b)
  }

  toggleWorker ({ a }: Step): void {
    const worker = pick([...this.model.workers.keys()], a)
    if (worker === undefined) return
    const available = this.model.unavailable.delete(worker)
    if (!available) this.model.unavailable.add(worker)
    this.#forEachPlacer((placer) => placer.setWorkerAvailable(worker, available))
  }

  /** Reports use far below or above what the task declared, possibly after its release. */
  recordUsage ({ a, b, c }: Step): void {
    const task = pick([...this.model.groupByTask.keys()], a)
    if (task === undefined) return
    this.#forEachPlacer((placer) => placer.recordUsage(task, { cpuMillis: b * 10, memoryMb: c * 4, accelerators: 0 }))
  }

  recordLateOutcome ({ a, b }: Step): void {
    const task = pick([...this.model.groupByTask.keys()], a)
    const worker = pick([...this.model.workers.keys()], b)
    if (task === undefined || worker === undefined) return
    this.#forEachPlacer((placer) => placer.recordOutcome(task, worker, { succeeded: b % 4 === 0, runMs: a }))
  }

  /** Restores a running task as after a takeover, only where it fits, since the previous owner kept the rules too. */
  restore ({ a, b }: Step): void {
    const task = pick([...this.model.waiting], a)
    const node = pick([...this.model.workers.values()], b)
    if (task === undefined || node === undefined) return
    const group = this.model.groupByTask.get(task)!
    this.model.placed.set(task, node.id)
    const isAllowed = group.failureDomains?.includes(node.failureDomain) ?? true
    if (!isAllowed || this.model.findOverLimit(node, group.team) !== undefined) {
      this.model.placed.delete(task)
      return
    }
    this.model.waiting.delete(task)
    this.#forEachPlacer((placer) => placer.restore(task, node.id))
  }

  setQuotas ({ a, b }: Step): void {
    const quota: Resources = { cpuMillis: 2000 + 20 * a, memoryMb: 2000 + 20 * b, accelerators: a % 5 }
    this.model.quotas = new Map([[`team-${a % 3}`, quota], ['team-0', { ...quota, accelerators: 9 }]])
    this.#forEachPlacer((placer) => placer.setQuotas(this.model.quotas))
  }

  /** Sets claims; sometimes a team has none, or there are no claims at all and the shard may use the whole quotas. */
  setClaims ({ a, b, c }: Step): void {
    const claimed: Resources = { cpuMillis: 20 * a, memoryMb: 20 * b, accelerators: a % 5 }
    const maxClaim = { ...claimed, cpuMillis: claimed.cpuMillis + 10 * c }
    const claims = new Map([[`team-${b % 3}`, { claimed, maxClaim }], ['team-0', { claimed: maxClaim, maxClaim }]])
    this.#applyClaims(c % 5 === 0 ? undefined : claims)
  }

  setPackingWeight ({ a }: Step): void {
    this.#forEachPlacer((placer) => placer.setPackingWeight(a / 999))
  }

  /**
   * Makes all workers available and lets every started task succeed, until none waits.
   *
   * @throws Error when tasks still wait after more rounds than four times the groups and workers created
   */
  drain (): void {
    for (const worker of this.model.unavailable) {
      this.#forEachPlacer((placer) => placer.setWorkerAvailable(worker, true))
    }
    this.model.unavailable.clear()
    this.#applyClaims(undefined)
    for (let round = 0; this.model.waiting.size > 0 || this.model.placed.size > 0; round++) {
      if (round > 4 * this.#count) throw new Error(`still waiting: ${[...this.model.waiting].join()}`)
      this.decide({ kind: 'decide', a: 3000, b: 0, c: 0 })
      for (const [task, worker] of [...this.model.placed]) {
        this.#forEachPlacer((placer) => placer.recordOutcome(task, worker, { succeeded: true, runMs: 1000 }))
        this.#release(task)
      }
    }
  }

  #applyClaims (claims: Map<string, QuotaClaim> | undefined): void {
    this.model.claims = claims
    this.#forEachPlacer((placer) => placer.setClaims(claims))
  }

  #createWorker (a: number, b: number): void {
    const node: WorkerNode = {
      id: `w${this.#count++}`,
      failureDomain: DOMAINS[a % 3]!,
      rack: `rack-${a % 2}`,
      capacity: { cpuMillis: 2000 * (1 + a % 3), memoryMb: 2048 * (1 + b % 2), accelerators: b % 3 === 0 ? 2 : 0 }
    }
    this.model.workers.set(node.id, node)
    this.#forEachPlacer((placer) => placer.addWorker(node))
  }

  #withTask (index: number, run: (task: string, worker: string) => void): void {
    const found = pick([...this.model.placed], index)
    if (found !== undefined) run(...found)
  }

  #release (task: string): void {
    this.model.placed.delete(task)
    this.model.victims.delete(task)
    const isKnown = this.model.groups.has(this.model.groupByTask.get(task)!.id)
    if (this.#requeuedWhilePlaced.delete(task) && isKnown) this.model.waiting.add(task)
    this.#forEachPlacer((placer) => placer.release(task))
  }

  #requeue (task: string): void {
    if (this.model.groups.has(this.model.groupByTask.get(task)!.id)) this.model.waiting.add(task)
    this.#forEachPlacer((placer) => placer.requeue(task, this.#now))
  }

  #forEachPlacer (call: (placer: Placer) => void): void {
    for (const placer of this.#placers) call(placer)
  }
}

function pick<T> (values: T[], index: number): T | undefined {
  return values[index % Math.max(1, values.length)]
}
