import { isDeepStrictEqual } from 'node:util'
import type { Resources } from '@gypsumspring/protocol'
import { WorkerSession, type SessionOwner } from '../workerSession/index.ts'
import type { ShardOwnerOptions, WorkerMachine } from './options.ts'

interface Entry {
  id: string
  machine: WorkerMachine | undefined
  /** The list of VMs shows the worker. */
  listed: boolean
  session: WorkerSession | undefined
  capacity: Resources | undefined
  /** Runs attempts that are not recorded as live, so its free capacity is unknown. */
  occupied: boolean
  /** What the placer was told; undefined while it does not know the worker. */
  placerCapacity: Resources | undefined
}

const NOTHING: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }

/** The workers of a shard with their sessions; decides which of them the placer may use. */
export class WorkerSet {
  readonly #options: ShardOwnerOptions
  readonly #owner: SessionOwner
  readonly #configVersion: () => number
  /** True when no attempt is recorded as live on the worker. */
  readonly #isIdle: (worker: string) => boolean
  readonly #entries = new Map<string, Entry>()

  constructor (
    options: ShardOwnerOptions, owner: SessionOwner, configVersion: () => number, isIdle: (worker: string) => boolean
  ) {
    this.#isIdle = isIdle
    this.#options = options
    this.#owner = owner
    this.#configVersion = configVersion
  }

  get sessions (): WorkerSession[] {
    return [...this.#entries.values()].flatMap(({ session }) => session ?? [])
  }

  session (worker: string): WorkerSession | undefined {
    return this.#entries.get(worker)?.session
  }

  isLeaving (worker: string): boolean {
    return this.#entries.get(worker)?.machine?.state === 'leaving'
  }

  /** Workers that answer, those that don't, and those that answer but get no new tasks. */
  count (): { reachable: number, unreachable: number, excluded: number } {
    const counts = { reachable: 0, unreachable: 0, excluded: 0 }
    for (const entry of this.#entries.values()) {
      if (entry.session?.reachable !== true) counts.unreachable++
      else counts[this.#isUsable(entry) ? 'reachable' : 'excluded']++
    }
    return counts
  }

  /** The worker has told its capacity to this owner. */
  hasAnswered (worker: string): boolean {
    return this.#entries.get(worker)?.capacity !== undefined
  }

  /** Makes a worker with recorded attempts known to the placer, though it may be silent. */
  expect (worker: string): void {
    this.#addToPlacer(this.#entry(worker))
  }

  /** Follows the list of VMs; a worker that is gone from it stays while it has tasks. Returns true for new workers. */
  set (machines: WorkerMachine[]): boolean {
    const listed = new Set(machines.map(({ id }) => id))
    const before = this.#entries.size
    for (const machine of machines) {
      const entry = this.#entry(machine.id)
      const moved = entry.machine !== undefined && entry.machine.address !== machine.address
      Object.assign(entry, { machine, listed: true })
      if (moved) entry.session?.setClient(this.#options.connector.connect(machine))
      if (entry.session === undefined) this.#open(entry, machine)
      this.refresh(machine.id)
    }
    for (const entry of this.#entries.values()) {
      if (listed.has(entry.id)) continue
      entry.listed = false
      this.refresh(entry.id)
      if (this.#isIdle(entry.id) && entry.session?.reachable !== true) this.#remove(entry)
    }
    return this.#entries.size > before
  }

  /** Notes what the worker says of its capacity; returns true when that makes it usable for the first time. */
  setCapacity (worker: string, capacity: Resources): boolean {
    const entry = this.#entry(worker)
    const first = entry.capacity === undefined
    entry.capacity = capacity
    return first
  }

  setOccupied (worker: string, occupied: boolean): void {
    this.#entry(worker).occupied = occupied
    this.refresh(worker)
  }

  /** Tells the placer whether it may use the worker. */
  refresh (worker: string): void {
    const entry = this.#entry(worker)
    const usable = this.#isUsable(entry)
    if (usable) this.#addToPlacer(entry)
    if (entry.placerCapacity !== undefined) this.#options.placer.setWorkerAvailable(worker, usable)
  }

  close (): void {
    for (const session of this.sessions) session.close()
  }

  #isUsable ({ id, machine, listed, session, capacity, occupied, placerCapacity }: Entry): boolean {
    if (!listed || machine?.state !== 'live' || occupied) return false
    if (session?.reachable !== true || capacity === undefined) return false
    // The placer can't be told a smaller capacity while it counts tasks there.
    return placerCapacity === undefined || this.#isIdle(id) || holds(capacity, placerCapacity)
  }

  #entry (id: string): Entry {
    let entry = this.#entries.get(id)
    if (entry === undefined) {
      entry = {
        id,
        machine: undefined,
        listed: false,
        session: undefined,
        capacity: undefined,
        occupied: false,
        placerCapacity: undefined
      }
      this.#entries.set(id, entry)
    }
    return entry
  }

  #open (entry: Entry, machine: WorkerMachine): void {
    const { connector, ownership, settings, startLimiter, callLimiter, log, metrics } = this.#options
    const { shard, epoch, ownedSince } = ownership
    entry.session = new WorkerSession({
      worker: machine.id,
      client: connector.connect(machine),
      shard,
      epoch,
      ownedSince,
      label: () => String(this.#configVersion()),
      terms: settings,
      owner: this.#owner,
      startLimiter,
      callLimiter,
      log,
      metrics
    })
    entry.session.open()
  }

  #addToPlacer (entry: Entry): void {
    const { machine, capacity, id, placerCapacity } = entry
    const known = capacity ?? machine?.capacity ?? NOTHING
    if (placerCapacity !== undefined) {
      if (!this.#isIdle(id) || isDeepStrictEqual(known, placerCapacity)) return
      this.#options.placer.removeWorker(id)
    }
    entry.placerCapacity = known
    this.#options.placer.addWorker({
      id,
      failureDomain: machine?.failureDomain ?? this.#options.settings.failureDomain,
      rack: machine?.rack ?? '',
      capacity: known
    })
    this.#options.placer.setWorkerAvailable(id, false)
  }

  #remove (entry: Entry): void {
    entry.session?.close()
    if (entry.placerCapacity !== undefined) this.#options.placer.removeWorker(entry.id)
    this.#entries.delete(entry.id)
  }
}

function holds (capacity: Resources, needed: Resources): boolean {
  return capacity.cpuMillis >= needed.cpuMillis && capacity.memoryMb >= needed.memoryMb &&
    capacity.accelerators >= needed.accelerators
}
