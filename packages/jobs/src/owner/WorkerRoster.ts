import { failureOf, rethrow, sleep, valueOf } from '@gypsumspring/protocol'
import type { TaskInstance } from '../model/index.ts'
import { UNLISTED_GRACE_MS } from '../constants/index.ts'
import type { WorkerConnector, WorkerRegistry } from '../ports.ts'
import type { WorkerEntry } from '../types.ts'
import { WorkerState } from '../workers/WorkerState.ts'
import type { Cell } from './Cell.ts'
import type { RunTracker } from './RunTracker.ts'
import { WorkerSession, type SessionOwner } from './WorkerSession.ts'
import type { WorkerTrust } from './WorkerTrust.ts'
import { readUntilDone } from './readUntilDone.ts'

/** Least time that a draining worker stays when it doesn't say, in ms. */
const DEFAULT_LEAVE_MS = 2_000

/** Longest wait of one read of the changes of the registry, in ms. */
const REGISTRY_WAIT_MS = 1_000

/** Wait after a read of the registry that failed, in ms. */
const REGISTRY_RETRY_MS = 100

export interface RosterParts {
  cell: Cell
  registry: WorkerRegistry
  links: WorkerConnector
  tracker: RunTracker
  trust: WorkerTrust
  /** Shared with the tracker, which sends orders through the sessions. */
  sessions: Map<string, WorkerSession>
  /** Aborted when the owner ends. */
  ended: AbortSignal
}

/** What the sessions need of the owner, but for what the roster does itself. */
export type RosterOwner = Pick<SessionOwner, 'token' | 'leaseMs' | 'mayRenew' | 'stored'> & {
  /** Another owner with a higher token was at a worker. */
  fenced (): void
  /** Steady time by which leases that an earlier owner gave have ended, in ms. */
  inheritedLeaseEnd (): number
}

/** The workers of a cell as they come, change and go, with a session to each. */
export class WorkerRoster {
  readonly #parts: RosterParts
  readonly #owner: RosterOwner
  #started = false

  constructor (parts: RosterParts, owner: RosterOwner) {
    this.#parts = parts
    this.#owner = owner
  }

  /** Begins to look at the workers, and follows the registry from a version on. */
  async run (version: number): Promise<void> {
    this.#started = true
    await Promise.all([
      ...[...this.#parts.sessions.values()].map((session) => session.run()), this.#watchRegistry(version)
    ])
  }

  close (): void {
    for (const session of this.#parts.sessions.values()) session.close()
  }

  add (entry: WorkerEntry): void {
    const { cell, sessions, links, tracker } = this.#parts
    const known = cell.workers.get(entry.id)
    if (known !== undefined && sessions.has(entry.id)) {
      this.#update(known, entry)
      return
    }
    const worker = known ?? new WorkerState(entry, this.#owner.inheritedLeaseEnd())
    cell.workers.set(entry.id, worker)
    const { token, leaseMs, mayRenew, stored, fenced } = this.#owner
    const session = new WorkerSession(worker, links.open(entry), {
      token,
      leaseMs,
      mayRenew,
      stored,
      fenced,
      receive: (state, view, sentAt) => tracker.receive(state, view, sentAt),
      gone: (state) => this.#remove(state, 'another incarnation answers'),
      reachabilityChanged: (state) => {
        cell.log.info({ worker: state.id, reachable: state.reachable }, 'worker reachability changed')
        if (state.reachable) cell.changed()
      }
    })
    sessions.set(entry.id, session)
    this.#update(worker, entry)
    if (this.#started) session.run().catch(rethrow)
  }

  /** Counts a run of an earlier owner on its worker, which may no longer be registered. */
  holdInherited (task: TaskInstance): void {
    const { cell } = this.#parts
    const id = task.worker!
    let worker = cell.workers.get(id)
    if (worker === undefined) {
      worker = new WorkerState(unknownEntry(id), this.#owner.inheritedLeaseEnd())
      worker.unlistedSince = performance.now()
      cell.workers.set(id, worker)
    }
    worker.add(task)
  }

  /** Gives up the tasks of workers whose leases have ended unseen, and forgets workers that are gone. */
  tick (now: number): void {
    for (const worker of [...this.#parts.cell.workers.values()]) {
      if (worker.reachable) continue
      if (worker.leaseEndsBy < now) this.#parts.tracker.loseTasks(worker, 'lease ended without an answer')
      const unlistedMs = worker.unlistedSince === undefined ? 0 : now - worker.unlistedSince
      if (unlistedMs > UNLISTED_GRACE_MS && worker.tasks.size === 0) this.#remove(worker, 'not registered any more')
    }
  }

  #update (worker: WorkerState, entry: WorkerEntry): void {
    if (entry.draining && worker.leavesAt === undefined) {
      worker.leavesAt = performance.now() + (entry.leavesInMs ?? DEFAULT_LEAVE_MS)
      this.#parts.cell.log.info({ worker: entry.id, leavesInMs: entry.leavesInMs }, 'worker is draining')
    }
    worker.entry = entry
    worker.unlistedSince = undefined
    this.#parts.cell.changed()
  }

  #remove (worker: WorkerState, reason: string): void {
    const { cell, sessions, tracker, trust } = this.#parts
    if (cell.workers.get(worker.id) !== worker) return
    tracker.loseTasks(worker, reason)
    sessions.get(worker.id)?.close()
    sessions.delete(worker.id)
    cell.workers.delete(worker.id)
    trust.forget(worker.id)
    cell.log.info({ worker: worker.id, reason }, 'worker removed')
  }

  async #watchRegistry (from: number): Promise<void> {
    const { registry, ended } = this.#parts
    let version = from
    while (!ended.aborted) {
      const outcome = await registry.changes(version, REGISTRY_WAIT_MS)
      const changes = valueOf(outcome)
      if (changes !== undefined) {
        version = changes.version
        for (const worker of changes.workers) this.add(worker)
        for (const id of changes.removed) this.#unlist(id)
        continue
      }
      await sleep(REGISTRY_RETRY_MS)
      if (failureOf(outcome)?.reason === 'not-found') version = await this.#reload(version)
    }
  }

  async #reload (version: number): Promise<number> {
    const { registry, ended, cell } = this.#parts
    const listed = await readUntilDone(() => registry.list(), 'workers', ended, cell.counters)
    if (listed === undefined) return version
    const present = new Set(listed.workers.map(({ id }) => id))
    for (const worker of listed.workers) this.add(worker)
    for (const id of cell.workers.keys()) if (!present.has(id)) this.#unlist(id)
    return listed.version
  }

  #unlist (id: string): void {
    const worker = this.#parts.cell.workers.get(id)
    if (worker !== undefined) worker.unlistedSince ??= performance.now()
  }
}

function unknownEntry (id: string): WorkerEntry {
  return {
    id,
    pool: '',
    address: '',
    failureDomain: '',
    draining: true,
    leavesInMs: undefined,
    capacity: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
    labels: []
  }
}
