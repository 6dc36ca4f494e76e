import type { SlotMove } from '@gypsumspring/protocol'
import type { SlotLedger, SlotRegistration, SlotReport, SlotResponse, SlotRunner } from '../types.ts'
import { DRIFT_MARGIN } from '../constants/index.ts'
import { AllocationTable, type Allocation } from './_lib/AllocationTable.ts'
import { findRecallSources, planMoves } from './_lib/planMoves.ts'
import { LOAD_AVERAGE_MS, LONGEST_DEADLINE_MS, NOTIFICATION_INTERVAL_MS } from './constants/index.ts'

interface LedgerOptions {
  epoch: number
  /** Registrations in the stored row when it was taken over. */
  registrations: SlotRegistration[]
  /** When the write that acquired or renewed the lease was sent, in ms. */
  renewedAt: number
  /** How long tokens stay valid without contact with the store, in ms; shorter store outages revoke no token. */
  runHorizonMs: number
}

/**
 * Creates the token accounting of the slot allocator of one failure domain. For each entry it keeps an upper bound on
 * the tokens held: the holdings of the last report plus the grants of the response to that report. Tokens that no entry
 * can hold are free to be granted. After a takeover, tokens that no report has accounted for are withheld until every
 * registered incarnation has reported or its tokens have certainly expired.
 *
 * @param options.epoch - Epoch of the allocator's lease row.
 * @param options.registrations - Incarnations listed in the row at the takeover; any of them may hold tokens.
 * @param options.renewedAt - Time in ms at which the write that took the row over was sent.
 * @param options.runHorizonMs - How long tokens stay valid without contact with the store, in ms. Must be the same in
 *   all processes, since a successor waits this long before it grants the tokens of a silent entry.
 * @param now - Time in ms.
 *
 * @example
 * const ledger = createSlotLedger({ epoch: 1, registrations: [], renewedAt: 0, runHorizonMs: 1_800_000 }, 0)
 * ledger.setRunners([{ endpoint: 'origem', runner: 'r1', slots: 8 }])
 */
export function createSlotLedger (options: LedgerOptions, now: number): SlotLedger {
  return new Ledger(options, now)
}

class Ledger implements SlotLedger {
  readonly epoch: number
  readonly #table = new AllocationTable()
  readonly #runHorizonMs: number
  #renewedAt: number
  #confirmed: SlotRegistration[]
  #notifications = new Set<string>()

  constructor (options: LedgerOptions, now: number) {
    this.epoch = options.epoch
    this.#renewedAt = options.renewedAt
    this.#runHorizonMs = options.runHorizonMs
    this.#confirmed = options.registrations
    for (const registration of options.registrations) {
      this.#table.add(registration, now, { registered: true, hasReported: false })
    }
  }

  setRunners (runners: SlotRunner[]): void {
    this.#table.setRunners(runners)
  }

  recordRenewal (sentAt: number): void {
    this.#renewedAt = Math.max(this.#renewedAt, sentAt)
  }

  handleReport (report: SlotReport, now: number): SlotResponse {
    this.tick(now)
    const refusal = {
      epoch: this.epoch, sequence: report.sequence, registered: false, validMs: 0, grants: [], releases: []
    }
    // A sender that still follows an older epoch could apply a grant of the older allocator after this report.
    if (report.epoch !== this.epoch) return refusal
    const allocation = this.#findOrAddAllocation(report, now)
    if (allocation === undefined) return refusal
    if (report.sequence === allocation.lastSequence) return allocation.lastResponse ?? refusal
    if (allocation.retiredAt !== undefined || report.sequence < allocation.lastSequence) return refusal
    this.#recordReport(allocation, report, now)
    const validMs = Math.max(0, Math.floor(this.#renewedAt + this.#runHorizonMs - now))
    allocation.lastResponse = allocation.registered && validMs > 0
      ? {
          ...refusal,
          registered: true,
          validMs: Math.min(validMs, this.#runHorizonMs),
          ...this.#moveTokens(allocation, now)
        }
      : refusal
    if (allocation.lastResponse.registered) this.#notifyHolders(allocation, now)
    return allocation.lastResponse
  }

  takeNotifications (): string[] {
    const entries = [...this.#notifications]
    this.#notifications.clear()
    return entries
  }

  pendingRegistrations (): SlotRegistration[] | undefined {
    const wanted = this.#registrations()
    const complete = this.#table.all().every(({ registered }) => registered)
    return complete && JSON.stringify(wanted) === JSON.stringify(sorted(this.#confirmed)) ? undefined : wanted
  }

  confirmRegistrations (registrations: SlotRegistration[]): void {
    this.#confirmed = registrations
    for (const { entry, incarnation } of registrations) {
      const allocation = this.#table.find(entry, incarnation)
      if (allocation !== undefined) allocation.registered = true
    }
  }

  recordEntryRemoval (entry: string, now: number): void {
    for (const allocation of this.#table.all()) {
      if (allocation.entry === entry) allocation.leftAt ??= now
    }
  }

  tick (now: number): void {
    for (const allocation of this.#table.all()) {
      if (this.#expiresAt(allocation) <= now) this.#table.remove(allocation)
    }
  }

  nextTickAt (): number | undefined {
    const times = this.#table.all().map((allocation) => this.#expiresAt(allocation))
    return times.length === 0 ? undefined : Math.min(...times)
  }

  getUsage () {
    return [...this.#table.runners.values()].map(({ endpoint, runner, slots, held, withheld }) => {
      return { endpoint, runner, slots, held, withheld, free: Math.max(0, slots - held - withheld) }
    })
  }

  #findOrAddAllocation (report: SlotReport, now: number): Allocation | undefined {
    const known = this.#table.find(report.entry, report.incarnation)
    if (known !== undefined) return known
    if (report.leaving && report.holdings.length === 0) return undefined
    for (const allocation of this.#table.all()) {
      if (allocation.entry === report.entry) allocation.retiredAt ??= now
    }
    return this.#table.add({ ...report, retired: false }, now, { registered: false, hasReported: true })
  }

  #recordReport (allocation: Allocation, report: SlotReport, now: number): void {
    const isFirst = allocation.lastSequence < 0
    const elapsed = now - allocation.lastContact
    allocation.lastSequence = report.sequence
    allocation.lastContact = now
    allocation.leaving = report.leaving
    // The allocation is kept for a while without tokens, so that a delayed earlier report is recognised.
    allocation.leftAt = report.leaving && report.holdings.length === 0 ? now : undefined
    this.#table.replaceBounds(allocation, report.holdings)
    for (const { endpoint, waiting } of report.demands) this.#table.load(allocation, endpoint).waiting = waiting
    for (const load of allocation.loads.values()) {
      const current = load.inUse + load.waiting
      const weight = isFirst ? 1 : 1 - Math.exp(-elapsed / LOAD_AVERAGE_MS)
      load.smoothed += weight * (current - load.smoothed)
      load.starvingSince = load.waiting > 0 && load.held === 0 ? load.starvingSince ?? now : undefined
    }
  }

  #moveTokens (allocation: Allocation, now: number): { grants: SlotMove[], releases: SlotMove[] } {
    const moves = planMoves(this.#table, allocation, now)
    for (const grant of moves.grants) this.#table.addTokens(allocation, grant)
    return moves
  }

  /** Queues notifications to holders of tokens that the entry lacks, unless they reported or were notified recently. */
  #notifyHolders (allocation: Allocation, now: number): void {
    for (const holder of findRecallSources(this.#table, allocation)) {
      if (now - Math.max(holder.lastContact, holder.notifiedAt) < NOTIFICATION_INTERVAL_MS) continue
      holder.notifiedAt = now
      this.#notifications.add(holder.entry)
    }
  }

  #expiresAt (allocation: Allocation): number {
    const goneAt = Math.min(allocation.retiredAt ?? Infinity, allocation.leftAt ?? Infinity)
    return Math.min(goneAt, allocation.lastContact + this.#runHorizonMs * DRIFT_MARGIN) + LONGEST_DEADLINE_MS
  }

  #registrations (): SlotRegistration[] {
    return sorted(this.#table.all().map(({ entry, incarnation, retiredAt }) => {
      return { entry, incarnation, retired: retiredAt !== undefined }
    }))
  }
}

function sorted (registrations: SlotRegistration[]): SlotRegistration[] {
  return registrations
    .map(({ entry, incarnation, retired }) => ({ entry, incarnation, retired }))
    .sort((a, b) => `${a.entry}/${a.incarnation}` < `${b.entry}/${b.incarnation}` ? -1 : 1)
}
