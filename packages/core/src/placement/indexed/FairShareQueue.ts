import { PRIORITY_CLASSES } from '../constants/index.ts'
import { compareQueueOrder, compareSubmitted } from '../_lib/rules.ts'
import type { GroupRecord } from '../types.ts'

/**
 * Stale groups at the start of a list are removed when there are this many. Those further on are removed when they also
 * make up half of the list.
 */
const COMPACT_STALE_THRESHOLD = 32

/** Groups of one team in order of submission. Groups without waiting tasks are stale and are removed lazily. */
interface TeamQueue { groups: GroupRecord[] }

/** Position of a walk in the queue of one team. */
interface Cursor {
  team: string
  share: number
  queue: TeamQueue
  position: number
  /** Stale groups passed so far. */
  stale: number
}

/**
 * Queues the groups with waiting tasks by class and team. Within a class the team with the smallest share comes first,
 * and within a team the group that was submitted first.
 */
export class FairShareQueue {
  readonly #classes = PRIORITY_CLASSES.map(() => new Map<string, TeamQueue>())
  readonly #queued = new Set<GroupRecord>()

  /** Adds a group unless it is still in the queue. */
  add (group: GroupRecord): void {
    if (this.#queued.has(group)) return
    this.#queued.add(group)
    const teams = this.#classes[group.rank]!
    let queue = teams.get(group.spec.team)
    if (queue === undefined) {
      queue = { groups: [] }
      teams.set(group.spec.team, queue)
    }
    insertSorted(queue.groups, group, compareSubmitted)
  }

  /**
   * Visits the waiting groups of one class in queue order. The visitor returns true when the group has started tasks,
   * to visit it again while others of its tasks wait, false to go on to the next group, and undefined to end the walk.
   * The share of the group's team is read again after each visit.
   */
  walk (rank: number, shareOf: (team: string) => number, visit: (group: GroupRecord) => boolean | undefined): void {
    const cursors: Cursor[] = []
    for (const [team, queue] of this.#classes[rank]!) {
      const cursor = { team, share: shareOf(team), queue, position: 0, stale: 0 }
      const isWaiting = this.#skipStale(cursor)
      if (!isWaiting || cursor.stale >= COMPACT_STALE_THRESHOLD) this.#dropPassed(cursor)
      if (isWaiting) insertSorted(cursors, cursor, compareCursors)
      else this.#classes[rank]!.delete(team)
    }
    while (cursors.length > 0) {
      const cursor = cursors.pop()!
      const visitAgain = visit(currentGroup(cursor))
      if (visitAgain === undefined) return
      if (!visitAgain) cursor.position++
      cursor.share = shareOf(cursor.team)
      if (this.#skipStale(cursor)) insertSorted(cursors, cursor, compareCursors)
      else this.#compact(cursor)
    }
  }

  #skipStale (cursor: Cursor): boolean {
    const { groups } = cursor.queue
    while (cursor.position < groups.length && groups[cursor.position]!.waiting.size === 0) {
      cursor.position++
      cursor.stale++
    }
    return cursor.position < groups.length
  }

  /** Removes the groups that the cursor has passed, which must all be stale. */
  #dropPassed (cursor: Cursor): void {
    for (const group of cursor.queue.groups.splice(0, cursor.position)) this.#queued.delete(group)
    cursor.position = cursor.stale = 0
  }

  /** Removes the stale groups of a list when the cursor has passed many of them. */
  #compact (cursor: Cursor): void {
    const { queue } = cursor
    if (cursor.stale < COMPACT_STALE_THRESHOLD || cursor.stale * 2 < queue.groups.length) return
    for (const group of queue.groups) if (group.waiting.size === 0) this.#queued.delete(group)
    queue.groups = queue.groups.filter((group) => group.waiting.size > 0)
  }
}

function currentGroup (cursor: Cursor): GroupRecord {
  return cursor.queue.groups[cursor.position]!
}

/** Reverse queue order, so that the next cursor can be popped from the end. */
function compareCursors (a: Cursor, b: Cursor): number {
  return compareQueueOrder(currentGroup(b), b.share, currentGroup(a), a.share)
}

function insertSorted<T> (values: T[], value: T, compare: (a: T, b: T) => number): void {
  let low = 0
  let high = values.length
  // Fast path: a new value usually belongs at the end.
  if (high > 0 && compare(values[high - 1]!, value) < 0) low = high
  while (low < high) {
    const middle = (low + high) >> 1
    if (compare(values[middle]!, value) < 0) low = middle + 1
    else high = middle
  }
  if (low === values.length) values.push(value)
  else values.splice(low, 0, value)
}
