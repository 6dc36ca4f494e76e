import { failureOf, throwUncaught, valueOf, type Failure, type Outcome } from '@gypsumspring/protocol'
import type { MachineEntry, WorkerInventory } from '../ports.ts'
import type { WorkerState } from '../workers/WorkerState.ts'
import type { Cell } from './Cell.ts'

/** Time without an answer after which the inventory is asked about a worker, in ms; single answers may be lost. */
const ASK_AFTER_MS = 300

/** Delay of the second listing while the same workers don't answer, in ms. It doubles up to `MAX_DELAY_MS`. */
const FIRST_DELAY_MS = 500

/** Longest delay between two listings while the same workers don't answer, in ms; the rate of readings is limited. */
const MAX_DELAY_MS = 2_000

/**
 * Shortest time between two listings, in ms: the workers of a domain stop answering one after the other, and a listing
 * of 380 machines has 60 kB.
 */
const MIN_DELAY_MS = 250

/**
 * Interval of listings while all workers answer, in ms. They show which machine runs each worker, so that one listing
 * suffices as evidence that a worker has ended.
 */
const REFRESH_INTERVAL_MS = 10_000

/**
 * Share of the reachable workers that a listing has to show before it counts against workers that it doesn't show: an
 * empty listing, or one of other machines, is no evidence. Workers that have just ended may still count as reachable.
 */
const MIN_SHOWN_SHARE = 0.5

/**
 * Listings in a row that have to show a worker nowhere. One may miss a machine that moves between its pages, and the
 * next one may repeat it if the service answers from a cache.
 */
const MIN_MISSING_LISTINGS = 3

/**
 * Asks the inventory of machines about workers with tasks that don't answer, and reports those that have ended. Only
 * listings that were sent after the worker became unreachable count. One of these is evidence:
 * - The machine that ran the worker, by an earlier listing, runs another one or none.
 * - `MIN_MISSING_LISTINGS` listings in a row show the worker nowhere.
 */
export class EndedWorkerDetector {
  readonly #cell: Cell
  readonly #inventory: WorkerInventory
  readonly #onEnded: (worker: WorkerState) => void
  readonly #signal: AbortSignal
  /** The last machine known to run a worker, by the worker's id. */
  readonly #machines = new Map<string, string>()
  /** Number of listings in a row that didn't show a worker, and the time since which it was unreachable. */
  readonly #missing = new WeakMap<WorkerState, { listings: number, since: number }>()
  #isListing = false
  /** Monotonic time at which the last listing was requested, in ms. */
  #sentAt = -Infinity
  #delayMs = FIRST_DELAY_MS
  #outage: { startedAt: number, failures: number } | undefined

  /**
   * @param onEnded - Called once for each worker that has ended; it removes the worker.
   * @param signal - Aborted when the owner ends.
   */
  constructor (
    cell: Cell, inventory: WorkerInventory, onEnded: (worker: WorkerState) => void, signal: AbortSignal
  ) {
    this.#cell = cell
    this.#inventory = inventory
    this.#onEnded = onEnded
    this.#signal = signal
  }

  /** Requests a listing when one is due. */
  tick (now: number): void {
    if (this.#isListing) return
    const silent = [...this.#cell.workers.values()].filter((worker) => isSilent(worker, now - ASK_AFTER_MS))
    const isRepeat = silent.length > 0 && silent.every((worker) => isSilent(worker, this.#sentAt - ASK_AFTER_MS))
    if (!isRepeat) this.#delayMs = FIRST_DELAY_MS
    const pauseMs = silent.length === 0 ? REFRESH_INTERVAL_MS : isRepeat ? this.#delayMs : MIN_DELAY_MS
    if (now - this.#sentAt < pauseMs) return
    if (isRepeat) this.#delayMs = Math.min(2 * this.#delayMs, MAX_DELAY_MS)
    this.#list().catch(throwUncaught)
  }

  async #list (): Promise<void> {
    const sentAt = performance.now()
    this.#sentAt = sentAt
    this.#isListing = true
    const outcome = await this.#inventory.listMachines()
    this.#isListing = false
    if (this.#signal.aborted) return
    this.#recordOutcome(outcome, sentAt)
    const machines = valueOf(outcome)
    if (machines === undefined) return
    this.#judge(machines, sentAt)
    this.#updateMachines(machines)
  }

  #judge (machines: readonly MachineEntry[], sentAt: number): void {
    const shown = new Set(machines.flatMap(({ worker }) => worker === '' ? [] : [worker]))
    const workersByMachine = new Map(machines.map(({ machine, worker }) => [machine, worker]))
    const mayProveAbsence = this.#showsReachableWorkers(shown)
    for (const worker of [...this.#cell.workers.values()]) {
      if (!isSilent(worker, sentAt)) continue
      if (shown.has(worker.id)) {
        this.#missing.delete(worker)
        continue
      }
      const machine = this.#machines.get(worker.id)
      const present = machine === undefined ? undefined : workersByMachine.get(machine)
      if (present !== undefined) {
        this.#reportEnd(worker, { machine, runs: present })
      } else if (mayProveAbsence) {
        const listings = this.#countMissing(worker)
        if (listings >= MIN_MISSING_LISTINGS) this.#reportEnd(worker, { machine, missingFromListings: listings })
      }
    }
  }

  #countMissing (worker: WorkerState): number {
    const since = worker.unreachableSince!
    const earlier = this.#missing.get(worker)
    const listings = earlier?.since === since ? earlier.listings + 1 : 1
    this.#missing.set(worker, { listings, since })
    this.#delayMs = FIRST_DELAY_MS
    return listings
  }

  #reportEnd (worker: WorkerState, evidence: Record<string, unknown>): void {
    const silentMs = Math.round(performance.now() - worker.unreachableSince!)
    const fields = { worker: worker.id, tasks: worker.tasks.size, silentMs, ...evidence }
    this.#cell.log.info(fields, 'a worker has ended')
    this.#cell.metrics.count('workers_ended')
    this.#delayMs = FIRST_DELAY_MS
    this.#onEnded(worker)
  }

  #showsReachableWorkers (shown: ReadonlySet<string>): boolean {
    const reachable = [...this.#cell.workers.values()].filter((worker) => worker.reachable)
    const present = reachable.filter(({ id }) => shown.has(id))
    return shown.size > 0 && present.length >= MIN_SHOWN_SHARE * reachable.length
  }

  #updateMachines (machines: readonly MachineEntry[]): void {
    for (const id of this.#machines.keys()) if (!this.#cell.workers.has(id)) this.#machines.delete(id)
    for (const { machine, worker } of machines) if (worker !== '') this.#machines.set(worker, machine)
  }

  /** Logs the first of a series of failed listings, so that an outage does not fill the log. */
  #recordOutcome (outcome: Outcome<unknown>, sentAt: number): void {
    const failure = failureOf(outcome)
    this.#cell.metrics.count('inventory_reads', { outcome: failure?.reason ?? 'complete' })
    if (failure !== undefined) this.#recordFailure(failure, sentAt)
    else if (this.#outage !== undefined) {
      const { startedAt, failures } = this.#outage
      this.#outage = undefined
      this.#cell.log.info({ failures, forMs: Math.round(performance.now() - startedAt) }, 'the inventory is read again')
    }
  }

  #recordFailure ({ reason, message }: Failure, sentAt: number): void {
    if (this.#outage === undefined) this.#cell.log.warn({ reason, detail: message }, 'reading the inventory fails')
    this.#outage ??= { startedAt: sentAt, failures: 0 }
    this.#outage.failures++
  }
}

/** Whether a worker with tasks has not answered since a monotonic time before `before`, in ms. */
function isSilent ({ tasks, unreachableSince }: WorkerState, before: number): boolean {
  return tasks.size > 0 && unreachableSince !== undefined && unreachableSince < before
}
