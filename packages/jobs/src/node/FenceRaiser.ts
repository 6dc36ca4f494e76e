import { done, failureOf, notDone, sleep, throwUncaught, valueOf, type Outcome } from '@gypsumspring/protocol'
import { commitHedged } from '../commitHedged/index.ts'
import type { Commit, RecordStore } from '../ports.ts'
import { FENCE_KEY, FENCES_TABLE, JOBS_TABLE } from '../records/index.ts'
import type { StoreClock } from '../storeClock/StoreClock.ts'
import type { FenceValue, JobFence } from './JobFence.ts'

/** Least time between two raises of the fence of one partition, in ms. Under load, calls share them. */
const MIN_RAISE_INTERVAL_MS = 250

/** Most ids that one raise checks; a transaction is limited to 100 entries. */
const MAX_IDS_PER_RAISE = 90

/** Most ids that wait for a raise of one partition; further calls are refused. */
const MAX_WAITING_IDS = 500

/** Most attempts of one raise. Each fails only if another node has raised the fence, or if jobs are stored. */
const MAX_ATTEMPTS = 10

/** Age from which the reading of the store's clock is renewed before a raise, in ms; clocks differ by 2% at most. */
const MAX_CLOCK_AGE_MS = 2_000

const FENCE_ROW = { table: FENCES_TABLE, key: FENCE_KEY }

/** A store of which each answer tells the time on its clock. */
export type FenceStore = RecordStore & { clock: StoreClock }

type Receiver = (result: Outcome<boolean>) => void

/** Raises the fence of one partition for the ids that have come since the last time. */
export class FenceRaiser {
  readonly #store: FenceStore
  readonly #partition: string
  readonly #fence: JobFence
  /** Receivers of the result, by id. */
  readonly #waiting = new Map<string, Receiver[]>()
  #isRunning = false

  constructor (store: FenceStore, partition: string, fence: JobFence) {
    this.#store = store
    this.#partition = partition
    this.#fence = fence
  }

  /** @returns whether the job is stored in this partition */
  async raise (id: string): Promise<Outcome<boolean>> {
    const receivers = this.#waiting.get(id) ?? []
    if (receivers.length === 0 && this.#waiting.size >= MAX_WAITING_IDS) {
      return notDone('overloaded', 'too many calls for unknown jobs wait')
    }
    return await new Promise((resolve) => {
      this.#waiting.set(id, [...receivers, resolve])
      if (!this.#isRunning) this.#run().catch(throwUncaught)
    })
  }

  async #run (): Promise<void> {
    this.#isRunning = true
    while (this.#waiting.size > 0) {
      const receivers = new Map([...this.#waiting].slice(0, MAX_IDS_PER_RAISE))
      for (const id of receivers.keys()) this.#waiting.delete(id)
      await this.#raiseFor(receivers)
      await sleep(MIN_RAISE_INTERVAL_MS)
    }
    this.#isRunning = false
  }

  /** Raises the fence and settles all receivers. */
  async #raiseFor (receivers: Map<string, Receiver[]>): Promise<void> {
    const settle = (ids: Iterable<string>, result: Outcome<boolean>) => {
      for (const id of [...ids]) {
        for (const receive of receivers.get(id) ?? []) receive(result)
        receivers.delete(id)
      }
    }
    let failure = await this.#refresh()
    for (let attempt = 0; attempt < MAX_ATTEMPTS && failure === undefined && receivers.size > 0; attempt++) {
      const ids = [...receivers.keys()]
      const value = this.#fence.createValue(ids, this.#store.clock.toStore(performance.now()))
      const commit = this.#createCommit(ids, value)
      const outcome = await commitHedged(this.#store, [commit])
      const result = valueOf(outcome)
      if (result?.kind === 'conflict') {
        const stored = result.rows.filter(({ table, version }) => table === JOBS_TABLE && version > 0)
        settle(stored.map(({ key }) => key), done(true))
        this.#fence.update(result.rows.find(({ table }) => table === FENCES_TABLE), result.nowMs)
        // Another copy of the same commit was applied.
        if (this.#fence.raise === value.raise) settle(ids, done(false))
      } else if (result?.kind === 'committed') {
        const [row] = commit.puts
        this.#fence.update({ ...row!, version: result.version }, result.nowMs)
        settle(ids, done(false))
      } else failure = failureOf(outcome)
    }
    settle(receivers.keys(), notDone(failure?.reason ?? 'conflict', 'the fence of the partition could not be raised'))
  }

  /** Reads the fence with the ids that other nodes have raised it for, and the store's clock, unless both are known. */
  async #refresh (): Promise<ReturnType<typeof failureOf>> {
    if (this.#fence.isKnown && this.#store.clock.ageMs < MAX_CLOCK_AGE_MS) return undefined
    const fences = await this.#store.read(FENCES_TABLE, this.#partition)
    const changes = valueOf(fences)
    if (changes !== undefined) this.#fence.update(changes.rows.find(({ key }) => key === FENCE_KEY), changes.nowMs)
    return failureOf(fences)
  }

  #createCommit (ids: readonly string[], value: FenceValue): Commit {
    return {
      partition: this.#partition,
      expected: [
        { ...FENCE_ROW, version: this.#fence.version },
        ...ids.map((key) => ({ table: JOBS_TABLE, key, version: 0 }))
      ],
      puts: [{ ...FENCE_ROW, value: Buffer.from(JSON.stringify(value)) }],
      removes: []
    }
  }
}
