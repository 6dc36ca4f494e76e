import { randomUUID } from 'node:crypto'
import { Type, type Static } from '@sinclair/typebox'
import { CLOCK_DRIFT } from '../constants/index.ts'
import { measureLongestElapsed, readInstant, type Instant } from '../instant/index.ts'
import type { StoredRow } from '../ports.ts'
import { decodeRow } from '../records/index.ts'

/** Time for which a fence lists the ids that it was raised for, in ms; most calls that store a job take up to 3 s. */
const LISTED_MS = 4_000

/** Most ids that a fence lists. */
const MAX_LISTED_IDS = 200

/** Time of an id of which the store's clock is not known; later than any other. */
const UNKNOWN_TIME_MS = Number.MAX_SAFE_INTEGER

/** Value of a fence's row. Times are on the store's clock, in ms, and not before the call that they stand for. */
const FenceValue = Type.Object({
  /** Identifies the raise that has written the row. */
  raise: Type.String(),
  /** Calls that began before this time count as cancelled, since ids up to then are no longer listed. */
  unlistedUntil: Type.Number(),
  /** Ids of cancelled jobs, with the time of the latest cancelling. */
  cancelled: Type.Array(Type.Tuple([Type.String(), Type.Number()]))
})
export type FenceValue = Static<typeof FenceValue>

/** The fence of one partition, as this node last saw it. */
export class JobFence {
  /** Version of the row; 0 if it does not exist or was never seen. */
  version = 0
  /** Undefined if the row does not exist or can't be read. */
  #value: FenceValue | undefined
  /** When the version was first seen, with the time on the store's clock; undefined if it never was. */
  #seen: { at: Instant, storeMs: number | undefined } | undefined

  get isKnown (): boolean {
    return this.#seen !== undefined
  }

  /** Identifies the raise that has written the row. */
  get raise (): string | undefined {
    return this.#value?.raise
  }

  /**
   * Takes note of the current row.
   *
   * @param row - The row; undefined if it does not exist.
   * @param storeMs - Time on the store's clock in the answer, if it tells.
   */
  update (row: Pick<StoredRow, 'version' | 'value'> | undefined, storeMs: number | undefined): void {
    const version = row?.version ?? 0
    // Answers may overtake each other.
    if (this.#seen !== undefined && version <= this.version && version > 0) return
    this.version = version
    this.#value = decodeRow(FenceValue, row?.value)
    this.#seen = { at: readInstant(), storeMs }
  }

  /**
   * Whether the job was cancelled since a call to store it began. Also true if that can't be ruled out, since the fence
   * no longer lists ids of that time or can't be read.
   */
  isCancelled (id: string, callBeganAt: Instant): boolean {
    if (this.version === 0 || this.#seen === undefined) return false
    const { at, storeMs = -Infinity } = this.#seen
    // The fence was raised before the call.
    if (at.monotonicMs <= callBeganAt.monotonicMs) return false
    const earliestBeginMs = storeMs - measureLongestElapsed(callBeganAt, at) * (1 + CLOCK_DRIFT)
    const { unlistedUntil, cancelled } = this.#value ?? { unlistedUntil: UNKNOWN_TIME_MS, cancelled: [] }
    return unlistedUntil > earliestBeginMs ||
      cancelled.some(([listed, cancelledMs]) => listed === id && cancelledMs > earliestBeginMs)
  }

  /**
   * Creates the value with which the fence is raised for ids.
   *
   * @param nowMs - Latest time that the store's clock may show; undefined if it is not known.
   */
  createValue (ids: readonly string[], nowMs = UNKNOWN_TIME_MS): FenceValue {
    const isUnreadable = this.version > 0 && this.#value === undefined
    const earlier = isUnreadable ? { unlistedUntil: nowMs, cancelled: [] } : this.#value
    const times = new Map(earlier?.cancelled.map(([id, at]) => [id, Math.min(at, nowMs)]))
    for (const id of ids) times.set(id, nowMs)
    const latestFirst = [...times].sort(([, a], [, b]) => b - a)
    const isListed = (at: number, index: number) => index < MAX_LISTED_IDS && nowMs - at < LISTED_MS
    const unlisted = latestFirst.filter(([, at], index) => !isListed(at, index)).map(([, at]) => at)
    return {
      raise: randomUUID(),
      unlistedUntil: Math.max(earlier?.unlistedUntil ?? 0, ...unlisted),
      cancelled: latestFirst.filter(([, at], index) => isListed(at, index))
    }
  }
}
