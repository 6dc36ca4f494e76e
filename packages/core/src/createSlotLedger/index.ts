import type { SlotMove } from '@gypsumspring/protocol'
import type { SlotAnswer, SlotLedger, SlotRegistration, SlotReport, SlotRunner } from '../types.ts'
import { DRIFT_MARGIN } from '../constants/index.ts'
import { Claims, type Claim } from './_lib/Claims.ts'
import { findHolders, planMoves } from './_lib/planMoves.ts'
import { LOAD_WINDOW_MS, LONGEST_DEADLINE_MS, NOTIFY_INTERVAL_MS } from './constants/index.ts'

interface LedgerOptions {
  epoch: number
  /** Registrations in the row when it was taken over. */
  registrations: SlotRegistration[]
  /** When the renewal or takeover write that gave the lease was sent, in ms. */
  renewedAt: number
  /** H: how long tokens stay valid without contact, in ms. Store outages of that length revoke none. */
  runHorizonMs: number
}

/**
 * The slot allocator of one failure domain. It counts for each entry the most tokens that it can hold: what its last
 * report said plus what the answer to that report grants. Tokens that no entry can hold are free and are granted. At a
 * takeover the tokens that no report has accounted for are withheld until every registered incarnation has reported, or
 * its tokens have certainly expired.
 *
 * @param options.epoch - Epoch of the allocator's lease row.
 * @param options.registrations - Incarnations listed in the row at the takeover; any of them may hold tokens.
 * @param options.renewedAt - Time in ms at which the write that took the row over was sent.
 * @param options.runHorizonMs - H in ms; the same in all processes, since a successor waits for it.
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
  readonly #claims = new Claims()
  readonly #runHorizonMs: number
  #renewedAt: number
  #confirmed: SlotRegistration[]
  #notices = new Set<string>()

  constructor (options: LedgerOptions, now: number) {
    this.epoch = options.epoch
    this.#renewedAt = options.renewedAt
    this.#runHorizonMs = options.runHorizonMs
    this.#confirmed = options.registrations
    for (const registration of options.registrations) {
      this.#claims.add(registration, now, { registered: true, answered: false })
    }
  }

  setRunners (runners: SlotRunner[]): void {
    this.#claims.setRunners(runners)
  }

  renewed (sentAt: number): void {
    this.#renewedAt = Math.max(this.#renewedAt, sentAt)
  }

  handle (report: SlotReport, now: number): SlotAnswer {
    this.tick(now)
    const refusal = {
      epoch: this.epoch, sequence: report.sequence, registered: false, validMs: 0, grants: [], releases: []
    }
    // A sender that has not yet followed this epoch could still apply an older allocator's grant after this report.
    if (report.epoch !== this.epoch) return refusal
    const claim = this.#findClaim(report, now)
    if (claim === undefined) return refusal
    if (report.sequence === claim.lastSequence) return claim.lastAnswer ?? refusal
    if (claim.retiredAt !== undefined || report.sequence < claim.lastSequence) return refusal
    this.#record(claim, report, now)
    const validMs = Math.max(0, Math.floor(this.#renewedAt + this.#runHorizonMs - now))
    claim.lastAnswer = claim.registered && validMs > 0
      ? { ...refusal, registered: true, validMs: Math.min(validMs, this.#runHorizonMs), ...this.#move(claim, now) }
      : refusal
    if (claim.lastAnswer.registered) this.#notice(claim, now)
    return claim.lastAnswer
  }

  takeNotices (): string[] {
    const notices = [...this.#notices]
    this.#notices.clear()
    return notices
  }

  pendingRegistrations (): SlotRegistration[] | undefined {
    const wanted = this.#registrations()
    const complete = this.#claims.all().every(({ registered }) => registered)
    return complete && JSON.stringify(wanted) === JSON.stringify(sorted(this.#confirmed)) ? undefined : wanted
  }

  confirmRegistrations (registrations: SlotRegistration[]): void {
    this.#confirmed = registrations
    for (const { entry, incarnation } of registrations) {
      const claim = this.#claims.find(entry, incarnation)
      if (claim !== undefined) claim.registered = true
    }
  }

  leave (entry: string, now: number): void {
    for (const claim of this.#claims.all()) {
      if (claim.entry === entry) claim.leftAt ??= now
    }
  }

  tick (now: number): void {
    for (const claim of this.#claims.all()) {
      if (this.#expiresAt(claim) <= now) this.#claims.close(claim)
    }
  }

  nextTickAt (): number | undefined {
    const times = this.#claims.all().map((claim) => this.#expiresAt(claim))
    return times.length === 0 ? undefined : Math.min(...times)
  }

  usage () {
    return [...this.#claims.runners.values()].map(({ endpoint, runner, slots, held, withheld }) => {
      return { endpoint, runner, slots, held, withheld, free: Math.max(0, slots - held - withheld) }
    })
  }

  #findClaim (report: SlotReport, now: number): Claim | undefined {
    const known = this.#claims.find(report.entry, report.incarnation)
    if (known !== undefined) return known
    if (report.leaving && report.holdings.length === 0) return undefined
    for (const claim of this.#claims.all()) {
      if (claim.entry === report.entry) claim.retiredAt ??= now
    }
    return this.#claims.add({ ...report, retired: false }, now, { registered: false, answered: true })
  }

  #record (claim: Claim, report: SlotReport, now: number): void {
    const first = claim.lastSequence < 0
    const elapsed = now - claim.lastContact
    claim.lastSequence = report.sequence
    claim.lastContact = now
    claim.leaving = report.leaving
    // Kept for a while without tokens, so that a delayed earlier report is recognised.
    claim.leftAt = report.leaving && report.holdings.length === 0 ? now : undefined
    this.#claims.replaceBounds(claim, report.holdings)
    for (const { endpoint, waiting } of report.demands) this.#claims.load(claim, endpoint).waiting = waiting
    for (const load of claim.loads.values()) {
      const current = load.inUse + load.waiting
      const weight = first ? 1 : 1 - Math.exp(-elapsed / LOAD_WINDOW_MS)
      load.smoothed += weight * (current - load.smoothed)
      load.hungrySince = load.waiting > 0 && load.held === 0 ? load.hungrySince ?? now : undefined
    }
  }

  #move (claim: Claim, now: number): { grants: SlotMove[], releases: SlotMove[] } {
    const moves = planMoves(this.#claims, claim, now)
    for (const grant of moves.grants) this.#claims.raise(claim, grant)
    return moves
  }

  /** Names holders of tokens that the claim lacks, unless they have reported or were named a moment ago. */
  #notice (claim: Claim, now: number): void {
    for (const holder of findHolders(this.#claims, claim)) {
      if (now - Math.max(holder.lastContact, holder.noticedAt) < NOTIFY_INTERVAL_MS) continue
      holder.noticedAt = now
      this.#notices.add(holder.entry)
    }
  }

  #expiresAt (claim: Claim): number {
    const gone = Math.min(claim.retiredAt ?? Infinity, claim.leftAt ?? Infinity)
    return Math.min(gone, claim.lastContact + this.#runHorizonMs * DRIFT_MARGIN) + LONGEST_DEADLINE_MS
  }

  #registrations (): SlotRegistration[] {
    return sorted(this.#claims.all().map(({ entry, incarnation, retiredAt }) => {
      return { entry, incarnation, retired: retiredAt !== undefined }
    }))
  }
}

function sorted (registrations: SlotRegistration[]): SlotRegistration[] {
  return registrations
    .map(({ entry, incarnation, retired }) => ({ entry, incarnation, retired }))
    .sort((a, b) => `${a.entry}/${a.incarnation}` < `${b.entry}/${b.incarnation}` ? -1 : 1)
}
