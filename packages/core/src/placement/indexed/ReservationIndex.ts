import { isOverdue } from '../_lib/rules.ts'
import type { GroupRecord, Reservation } from '../types.ts'
import { RESERVED, type WorkerTable } from './WorkerTable.ts'

/** Indexes the reservations by group and by worker. */
export class ReservationIndex {
  readonly #reservations = new Map<GroupRecord, Reservation>()
  readonly #table: WorkerTable

  constructor (table: WorkerTable) {
    this.#table = table
  }

  get size (): number {
    return this.#reservations.size
  }

  get (group: GroupRecord): Reservation | undefined {
    return this.#reservations.get(group)
  }

  has (group: GroupRecord): boolean {
    return this.#reservations.has(group)
  }

  /** Finds the backfill reservation of a class, of which there is at most one. */
  findBackfill (rank: number): Reservation | undefined {
    for (const reservation of this.#reservations.values()) {
      if (reservation.kind === 'backfill' && reservation.group.rank === rank) return reservation
    }
    return undefined
  }

  add (reservation: Reservation): void {
    this.remove(reservation.group)
    this.#reservations.set(reservation.group, reservation)
    for (const worker of reservation.tasks.keys()) {
      const entry = this.#table.entries.get(worker)!
      entry.reservations.push(reservation)
      this.#table.setFlag(entry.slot, RESERVED, true)
    }
  }

  /** Removes the reservation of a group. Returns true when it had one. */
  remove (group: GroupRecord): boolean {
    const reservation = this.#reservations.get(group)
    if (reservation === undefined) return false
    this.#reservations.delete(group)
    for (const worker of reservation.tasks.keys()) {
      const entry = this.#table.entries.get(worker)
      if (entry === undefined) continue
      entry.reservations = entry.reservations.filter((other) => other !== reservation)
      this.#table.setFlag(entry.slot, RESERVED, entry.reservations.length > 0)
    }
    return true
  }

  /** Removes and returns the reservations that are overdue or on a worker that may not start tasks. */
  removeStale (now: number, canStart: (worker: string) => boolean): Reservation[] {
    const stale: Reservation[] = []
    for (const [group, reservation] of this.#reservations) {
      if (!isOverdue(reservation, now) && [...reservation.tasks.keys()].every(canStart)) continue
      this.remove(group)
      stale.push(reservation)
    }
    return stale
  }
}
