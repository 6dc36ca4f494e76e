import { expect } from 'chai'
import type { Clock } from '@sinonjs/fake-timers'
import { throwUncaught } from '@gypsumspring/protocol'
import { SeededRandom, type MemoryCell, type MemoryNode, type StoreFault } from '../standins/index.ts'
import { describeCells } from './describeCells.ts'
import { TASK, startLongRunningTask } from './longRunningJob.ts'
import { findOwner } from './owners.ts'

/** Range of seeds; the environment variable SEEDS=FROM-TO sets another one. */
const [FROM = 1, TO = 100] = (process.env.SEEDS ?? '1-100').split('-').map(Number)

const MAX_EVENTS = 6

/** Longest wait for an owner before an event, in ms. */
const MAX_WAIT_MS = 3_000

/** Times after a takeover at which an event happens, in ms; owners make their first commits within 30 ms. */
const OWNED_MS = [0, 1, 3, 5, 6, 8, 11, 14, 17, 21, 30, 60, 150, 300, 700, 1_100, 2_500]

/** Time after the last event in which all leases end, and a task of a lost worker starts elsewhere, in ms. */
const RECOVERY_MS = 25_000

/**
 * Isolates the owner with the worker of the only task and some followers, so that it goes on renewing the lease, and
 * then injects random faults into the nodes that take the cell over.
 */
class IsolationScenario {
  readonly #cell: MemoryCell
  readonly #clock: Clock
  readonly #random: SeededRandom
  /** Followers of the isolated owner that are isolated with it. */
  #isolatedFollowers: string[] = []
  /** Nodes that new ones know at first. */
  #seeds: string[] = []
  #started = 0

  constructor (cell: MemoryCell, clock: Clock, seed: number) {
    this.#cell = cell
    this.#clock = clock
    this.#random = new SeededRandom(seed)
  }

  async run (): Promise<void> {
    const cell = this.#cell
    const worker = (await startLongRunningTask(cell, this.#clock, 1_000)).entry.id
    const { name } = cell.owner!
    this.#seeds = [...cell.nodes.keys()].filter((node) => node !== name)
    this.#isolatedFollowers = this.#seeds.slice(0, this.#random.below(this.#seeds.length + 1))
    for (const node of [name, ...this.#isolatedFollowers]) cell.isolatedNodes.add(node)
    cell.reachesWorker = (node, id) => cell.isolatedNodes.has(node) === (id === worker)
    if (this.#random.chance(0.5)) for (let count = 0; count < 2; count++) this.#startNode()
    for (let events = this.#random.between(1, MAX_EVENTS); events > 0; events--) await this.#runEvent()
    await this.#clock.tickAsync(RECOVERY_MS)
  }

  async #runEvent (): Promise<void> {
    if (this.#listOthers().length === 0) this.#startNode()
    if (this.#random.chance(0.75)) {
      for (let ms = 0; ms < MAX_WAIT_MS && findOwner(this.#cell) === undefined; ms++) await this.#clock.tickAsync(1)
      await this.#clock.tickAsync(this.#random.pick(OWNED_MS))
    } else await this.#clock.tickAsync(this.#random.below(1_500))
    const node = findOwner(this.#cell) ?? this.#listOthers()[0]!
    this.#random.pick([
      () => this.#replace(node),
      () => this.#restart(node),
      () => this.#handOver(node),
      () => this.#disturbCommits(),
      () => this.#loseAnswersAndReplace(node),
      () => this.#reconnectFollower(),
      () => this.#startNode()
    ])()
  }

  /** Nodes that are up and not isolated. */
  #listOthers (): MemoryNode[] {
    return [...this.#cell.nodes.values()].filter(({ up, name }) => up && !this.#cell.isolatedNodes.has(name))
  }

  #startNode (): void {
    this.#cell.startNode(`x${this.#started++}`, this.#seeds)
  }

  #replace ({ name }: MemoryNode): void {
    this.#cell.killNode(name)
    this.#startNode()
  }

  #restart ({ name }: MemoryNode): void {
    this.#cell.killNode(name)
    setTimeout(() => this.#cell.startNode(name), this.#random.below(600))
  }

  #handOver ({ cellNode }: MemoryNode): void {
    cellNode.resign().catch(throwUncaught)
    this.#startNode()
  }

  #disturbCommits (): void {
    const fault = this.#random.pick<StoreFault>(['lost', 'silent', 'late', 'refused'])
    const stores = this.#listOthers().map(({ store }) => store)
    for (const store of stores) {
      store.fault = (call) => call === 'commit' && this.#random.chance(0.5) ? fault : undefined
    }
    setTimeout(() => { for (const store of stores) store.fault = () => undefined }, this.#random.below(1_500))
  }

  #loseAnswersAndReplace (node: MemoryNode): void {
    node.store.fault = (call) => call === 'commit' ? 'lost' : undefined
    setTimeout(() => this.#replace(node), this.#random.below(60))
  }

  #reconnectFollower (): void {
    if (this.#isolatedFollowers.length === 0) return
    this.#cell.isolatedNodes.delete(this.#random.pick(this.#isolatedFollowers))
  }
}

describeCells('Random faults beside an isolated owner', Array.from({ length: TO - FROM + 1 }, (_, index) => ({
  // An owner must not take leases that an earlier one may still renew for ended, whatever happened between them.
  name: `never run a task twice (seed ${FROM + index})`,
  options: { nodes: 2 + index % 3 },
  run: async (cell: MemoryCell, clock: Clock) => {
    await new IsolationScenario(cell, clock, FROM + index).run()
    expect(cell.checker.violations).to.deep.equal([])
    expect(cell.checker.countRunning(TASK)).to.be.at.most(1)
  }
})))
