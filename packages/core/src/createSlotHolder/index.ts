import type { SlotDemand, SlotHolding, SlotMove } from '@gypsumspring/protocol'
import type { SlotChange, SlotHolder, SlotReport, SlotResponse } from '../types.ts'

interface HolderOptions {
  reportIntervalMs?: number
  idleIntervalMs?: number
  urgentIntervalMs?: number
  responseTimeoutMs?: number
}

/**
 * Creates the entry's side of the slot allocation in one failure domain. A response is applied only if it belongs to
 * the last report sent, has the epoch of that report, and was not applied before. The allocator can therefore take the
 * holdings of a report as complete: no earlier grant can still arrive.
 *
 * @param entry - Process id of the entry.
 * @param incarnation - Id that changes at each start of the process.
 * @param options.reportIntervalMs - Interval while requests wait and unused tokens are held. Default: 50.
 * @param options.idleIntervalMs - Interval while no request waits; a notification shortens it. Default: 1,000.
 * @param options.urgentIntervalMs - Interval while requests wait and every token is in use, or while tokens are
 *   recalled; also the minimum time between a report and the next one triggered by a notification. Default: 20.
 * @param options.responseTimeoutMs - How long to wait for a response before the next report. Default: 1,000.
 *
 * @example
 * const holder = createSlotHolder('entry-1', 'a1')
 * holder.createReport(0, [], [{ endpoint: 'origem', waiting: 1 }])
 */
export function createSlotHolder (entry: string, incarnation: string, options: HolderOptions = {}): SlotHolder {
  return new Holder(entry, incarnation, {
    reportIntervalMs: 50, idleIntervalMs: 1000, urgentIntervalMs: 20, responseTimeoutMs: 1000, ...options
  })
}

class Holder implements SlotHolder {
  #epoch = 0
  #sequence = 0
  #sentAt = -Infinity
  /** Sequence number of the report whose response may still be applied. */
  #awaited: number | undefined
  #recalled = new Map<string, SlotMove>()
  #notified = false
  readonly #entry: string
  readonly #incarnation: string
  readonly #options: Required<HolderOptions>

  constructor (entry: string, incarnation: string, options: Required<HolderOptions>) {
    this.#entry = entry
    this.#incarnation = incarnation
    this.#options = options
  }

  get epoch (): number {
    return this.#epoch
  }

  followEpoch (epoch: number): void {
    if (epoch <= this.#epoch) return
    this.#epoch = epoch
    this.#awaited = undefined
    this.#notified = false
  }

  notify (epoch: number): void {
    if (epoch === this.#epoch) this.#notified = true
  }

  createReport (now: number, holdings: SlotHolding[], demands: SlotDemand[], leaving = false): SlotReport | undefined {
    if (this.#awaited !== undefined && now - this.#sentAt < this.#options.responseTimeoutMs) return undefined
    this.#sequence++
    this.#awaited = this.#sequence
    this.#sentAt = now
    this.#notified = false
    return {
      entry: this.#entry,
      incarnation: this.#incarnation,
      epoch: this.#epoch,
      sequence: this.#sequence,
      holdings: holdings.filter((holding) => holding.held > 0),
      demands,
      leaving
    }
  }

  applyResponse (response: SlotResponse, now: number): SlotChange {
    const refused = { grants: [], releases: [] }
    if (response.epoch > this.#epoch) {
      this.followEpoch(response.epoch)
      return refused
    }
    if (response.epoch < this.#epoch || response.sequence !== this.#awaited) return refused
    this.#awaited = undefined
    const validUntil = this.#sentAt + response.validMs
    // The process may have been paused between the report and the response.
    if (!response.registered || now >= validUntil) return refused
    return { validUntil, grants: response.grants, releases: this.#replaceRecalls(response.releases) }
  }

  nextReportAt (waiting: number, spare: number): number {
    const { reportIntervalMs, idleIntervalMs, urgentIntervalMs, responseTimeoutMs } = this.#options
    const interval = this.#awaited !== undefined
      ? responseTimeoutMs
      : (waiting > 0 && spare === 0) || this.#recalled.size > 0 || this.#notified
          ? urgentIntervalMs
          : waiting > 0
            ? reportIntervalMs
            : idleIntervalMs
    return this.#sentAt + interval
  }

  /** Each response lists all recalls by the allocator; recalls that are no longer listed are cancelled. */
  #replaceRecalls (releases: SlotMove[]): SlotMove[] {
    const recalled = new Map(releases.map((move) => [`${move.endpoint}/${move.runner}`, move]))
    const cancelled = [...this.#recalled]
      .filter(([key]) => !recalled.has(key))
      .map(([, move]) => ({ ...move, slots: 0 }))
    this.#recalled = recalled
    return [...releases, ...cancelled]
  }
}
