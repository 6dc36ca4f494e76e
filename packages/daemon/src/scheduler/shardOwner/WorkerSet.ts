import { isDeepStrictEqual } from 'node:util'
import type { Resources } from '@gypsumspring/protocol'
import { ZERO_RESOURCES } from '../constants/index.ts'
import { WorkerSession, type SessionDelegate } from '../workerSession/index.ts'
import type { ShardOwnerOptions, WorkerMachine } from './options.ts'

interface WorkerState {
  id: string
  machine: WorkerMachine | undefined
  /** The inventory lists the worker. */
  listed: boolean
  session: WorkerSession | undefined
  capacity: Resources | undefined
  /** The worker runs attempts that are not recorded as live, so its free capacity is unknown. */
  hasUnrecordedAttempts: boolean
  /** Capacity that the placer was given; undefined while it does not know the worker. */
  placerCapacity: Resources | undefined
}

/** The workers of a shard with their sessions. Determines which workers the placer may use. */
export class WorkerSet {
  readonly #options: ShardOwnerOptions
  readonly #delegate: SessionDelegate
  readonly #configVersion: () => number
  /** True when no attempt is recorded as live on the worker. */
  readonly #isIdle: (worker: string) => boolean
  readonly #workers = new Map<string, WorkerState>()

  constructor (
    options: ShardOwnerOptions,
    delegate: SessionDelegate,
    configVersion: () => number,
    isIdle: (worker: string) => boolean
  ) {
    this.#isIdle = isIdle
    this.#options = options
    this.#delegate = delegate
    this.#configVersion = configVersion
  }

  get sessions (): WorkerSession[] {
    return [...this.#workers.values()].flatMap(({ session }) => session ?? [])
  }

  session (worker: string): WorkerSession | undefined {
    return this.#workers.get(worker)?.session
  }

  isLeaving (worker: string): boolean {
    return this.#workers.get(worker)?.machine?.state === 'leaving'
  }

  /** Counts workers: usable ones, unreachable ones, and ones that are reachable but excluded from new tasks. */
  count (): { reachable: number, unreachable: number, excluded: number } {
    const counts = { reachable: 0, unreachable: 0, excluded: 0 }
    for (const workerState of this.#workers.values()) {
      if (workerState.session?.reachable !== true) counts.unreachable++
      else counts[this.#isUsable(workerState) ? 'reachable' : 'excluded']++
    }
    return counts
  }

  /** True when the worker has reported its capacity to this owner. */
  hasReportedCapacity (worker: string): boolean {
    return this.#workers.get(worker)?.capacity !== undefined
  }

  /** Adds a worker with recorded attempts to the placer, even if it has not responded yet. */
  addUnconfirmed (worker: string): void {
    this.#addToPlacer(this.#findOrAdd(worker))
  }

  /**
   * Updates the workers from the inventory. A worker that is no longer listed stays while it has tasks or is reachable.
   * Returns true when the number of workers has grown.
   */
  setMachines (machines: WorkerMachine[]): boolean {
    const listed = new Set(machines.map(({ id }) => id))
    const before = this.#workers.size
    for (const machine of machines) {
      const workerState = this.#findOrAdd(machine.id)
      const moved = workerState.machine !== undefined && workerState.machine.address !== machine.address
      Object.assign(workerState, { machine, listed: true })
      if (moved) workerState.session?.setClient(this.#options.connector.connect(machine))
      if (workerState.session === undefined) this.#openSession(workerState, machine)
      this.updateAvailability(machine.id)
    }
    for (const workerState of this.#workers.values()) {
      if (listed.has(workerState.id)) continue
      workerState.listed = false
      this.updateAvailability(workerState.id)
      if (this.#isIdle(workerState.id) && workerState.session?.reachable !== true) this.#remove(workerState)
    }
    return this.#workers.size > before
  }

  /** Sets the capacity that a worker has reported. Returns true for its first report. */
  setCapacity (worker: string, capacity: Resources): boolean {
    const workerState = this.#findOrAdd(worker)
    const first = workerState.capacity === undefined
    workerState.capacity = capacity
    return first
  }

  setUnrecordedAttempts (worker: string, hasUnrecordedAttempts: boolean): void {
    this.#findOrAdd(worker).hasUnrecordedAttempts = hasUnrecordedAttempts
    this.updateAvailability(worker)
  }

  /** Tells the placer whether it may place tasks on the worker. */
  updateAvailability (worker: string): void {
    const workerState = this.#findOrAdd(worker)
    const usable = this.#isUsable(workerState)
    if (usable) this.#addToPlacer(workerState)
    if (workerState.placerCapacity !== undefined) this.#options.placer.setWorkerAvailable(worker, usable)
  }

  close (): void {
    for (const session of this.sessions) session.close()
  }

  #isUsable (worker: WorkerState): boolean {
    const { id, machine, listed, session, capacity, placerCapacity } = worker
    if (!listed || machine?.state !== 'live' || worker.hasUnrecordedAttempts) return false
    if (session?.reachable !== true || capacity === undefined) return false
    // The capacity in the placer can't be reduced while it counts tasks on the worker.
    return placerCapacity === undefined || this.#isIdle(id) || covers(capacity, placerCapacity)
  }

  #findOrAdd (id: string): WorkerState {
    let workerState = this.#workers.get(id)
    if (workerState === undefined) {
      workerState = {
        id,
        machine: undefined,
        listed: false,
        session: undefined,
        capacity: undefined,
        hasUnrecordedAttempts: false,
        placerCapacity: undefined
      }
      this.#workers.set(id, workerState)
    }
    return workerState
  }

  #openSession (workerState: WorkerState, machine: WorkerMachine): void {
    const { connector, ownership, settings, startLimiter, callLimiter, log, metrics } = this.#options
    const { shard, epoch, ownedSince } = ownership
    workerState.session = new WorkerSession({
      worker: machine.id,
      client: connector.connect(machine),
      shard,
      epoch,
      ownedSince,
      label: () => String(this.#configVersion()),
      durations: settings,
      delegate: this.#delegate,
      startLimiter,
      callLimiter,
      log,
      metrics
    })
    workerState.session.open()
  }

  #addToPlacer (workerState: WorkerState): void {
    const { machine, capacity, id, placerCapacity } = workerState
    const known = capacity ?? machine?.capacity ?? ZERO_RESOURCES
    if (placerCapacity !== undefined) {
      if (!this.#isIdle(id) || isDeepStrictEqual(known, placerCapacity)) return
      this.#options.placer.removeWorker(id)
    }
    workerState.placerCapacity = known
    this.#options.placer.addWorker({
      id,
      failureDomain: machine?.failureDomain ?? this.#options.settings.failureDomain,
      rack: machine?.rack ?? '',
      capacity: known
    })
    this.#options.placer.setWorkerAvailable(id, false)
  }

  #remove (workerState: WorkerState): void {
    workerState.session?.close()
    if (workerState.placerCapacity !== undefined) this.#options.placer.removeWorker(workerState.id)
    this.#workers.delete(workerState.id)
  }
}

function covers (capacity: Resources, needed: Resources): boolean {
  return capacity.cpuMillis >= needed.cpuMillis && capacity.memoryMb >= needed.memoryMb &&
    capacity.accelerators >= needed.accelerators
}
