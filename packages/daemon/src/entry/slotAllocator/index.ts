import type { Table } from '@gypsumspring/adapters'
import {
  createSlotLedger, type LeaseRight, type SlotLedger, type SlotRegistration, type SlotReport, type SlotResponse,
  type SlotRunner
} from '@gypsumspring/core'
import type { Logger } from '../../logging/index.ts'
import type { Metrics } from '../../metrics/index.ts'
import { throwUncaught, sleep } from '@gypsumspring/protocol'

/** A term of the lease on the row `slots/<domain>`; the part of `Ownership` that the allocator uses. */
export interface LeaseTerm {
  epoch: number
  /** Version of the lease row, which every write of the allocator checks. */
  rowVersion: number
}

/** The lease that makes this process the allocator of a failure domain. */
export interface DomainLease {
  right (): LeaseRight
  /** Time at which the write of the last renewal was sent, in ms. */
  readonly renewedAt: number
}

export interface SlotAllocatorOptions {
  failureDomain: string
  table: Table
  lease: DomainLease
  /** Run horizon: time for which slot tokens stay valid after the last contact with the store, in ms. */
  runHorizonMs: number
  /** Asks an entry to report at once. */
  notify: (entry: string, epoch: number) => void
  metrics: Metrics
  log: Logger
}

/** State of the allocator during a term. */
interface ActiveTerm {
  term: LeaseTerm
  ledger: SlotLedger
  /** Version of the row of registrations; 0 if the row does not exist. */
  registrationsVersion: number
  registrations: SlotRegistration[]
  /** Registrations of processes that have returned all their tokens. */
  returned: Set<string>
  pendingWrite: Promise<void> | undefined
}

/** Interval between checks for withheld tokens that can be freed and for unwritten registrations, in ms. */
const CHECK_INTERVAL_MS = 1000

/** Delay before another attempt to read the registrations after the store failed, in ms. */
const READ_RETRY_INTERVAL_MS = 200

/**
 * Allocates the slot tokens of one failure domain while this process holds the lease. Answers reports from a slot
 * ledger, and writes an entry into the row of registrations before the entry can get a token.
 */
export class SlotAllocator {
  readonly #options: SlotAllocatorOptions
  #runners: SlotRunner[] = []
  #active: ActiveTerm | undefined
  /** The latest term; `startTerm` stops when it changes. */
  #currentTerm: LeaseTerm | undefined
  #timer: ReturnType<typeof setInterval> | undefined

  constructor (options: SlotAllocatorOptions) {
    this.#options = options
  }

  setRunners (runners: SlotRunner[]): void {
    this.#runners = runners
    this.#active?.ledger.setRunners(runners)
  }

  /** Starts a term after the lease was gained: reads which entries may hold tokens, then answers reports. */
  async startTerm (term: LeaseTerm): Promise<void> {
    this.#currentTerm = term
    const { table, lease, runHorizonMs, log, failureDomain } = this.#options
    while (this.#currentTerm === term) {
      // This read follows the takeover, after which earlier terms can't write registrations any more.
      const readOutcome = await table.read(this.#registrationsKey)
      if (this.#currentTerm !== term) return
      if (readOutcome.isRight()) {
        const row = readOutcome.unsafeCoerce()
        const registrations = (row?.value as { registrations: SlotRegistration[] } | undefined)?.registrations ?? []
        const ledger = createSlotLedger(
          { epoch: term.epoch, registrations, renewedAt: lease.renewedAt, runHorizonMs }, performance.now())
        ledger.setRunners(this.#runners)
        this.#active = {
          term,
          ledger,
          registrationsVersion: row?.version ?? 0,
          registrations,
          returned: new Set(),
          pendingWrite: undefined
        }
        this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS)
        log.info({ failureDomain, epoch: term.epoch, registrations: registrations.length }, 'slot allocation started')
        return
      }
      await sleep(READ_RETRY_INTERVAL_MS)
    }
  }

  endTerm (): void {
    clearInterval(this.#timer)
    this.#currentTerm = undefined
    this.#active = undefined
  }

  /** Answers a report; epoch 0 means that this process is not the allocator. */
  handleReport (report: SlotReport): SlotResponse {
    const active = this.#active
    if (active === undefined || this.#options.lease.right() === 'none') {
      this.#options.metrics.count('slot_reports', { result: 'not-allocator' })
      return { epoch: 0, sequence: report.sequence, registered: false, validMs: 0, grants: [], releases: [] }
    }
    active.ledger.recordRenewal(this.#options.lease.renewedAt)
    const response = active.ledger.handleReport(report, performance.now())
    for (const entry of active.ledger.takeNotifications()) this.#options.notify(entry, active.term.epoch)
    if (report.leaving && report.holdings.length === 0) active.returned.add(registrationKey(report))
    else active.returned.delete(registrationKey(report))
    this.#options.metrics.count('slot_reports', { result: response.registered ? 'answered' : 'unregistered' })
    this.#writeRegistrations(active)
    return response
  }

  /** Entries in the row of registrations. */
  registeredEntries (): string[] {
    return [...new Set(this.#active?.registrations.map(({ entry }) => entry))]
  }

  /**
   * Ends the term before the lease is released, and deletes the registrations of entries that have returned all their
   * tokens. The ledger keeps these for a while to recognise delayed reports, but the next allocator refuses such
   * reports by their epoch, and would withhold every free token while it waits for an entry that is gone.
   */
  async handOver (): Promise<void> {
    const active = this.#active
    if (active === undefined) return
    await active.pendingWrite
    const registrations = active.ledger.pendingRegistrations() ?? active.registrations
    this.endTerm()
    const remaining = registrations.filter((registration) => !active.returned.has(registrationKey(registration)))
    await this.#writeRow(active, remaining)
  }

  /** Handles an entry whose VM is no longer in the inventory. */
  recordEntryRemoval (entry: string): void {
    this.#active?.ledger.recordEntryRemoval(entry, performance.now())
  }

  getUsage () {
    return this.#active?.ledger.getUsage() ?? []
  }

  get epoch (): number | undefined {
    return this.#active?.term.epoch
  }

  get #registrationsKey (): string {
    return `slots-entries/${this.#options.failureDomain}`
  }

  #check (): void {
    const active = this.#active
    if (active === undefined) return
    active.ledger.tick(performance.now())
    this.#writeRegistrations(active)
    const { free, held, withheld } = active.ledger.getUsage().reduce((sum, use) => ({
      free: sum.free + use.free, held: sum.held + use.held, withheld: sum.withheld + use.withheld
    }), { free: 0, held: 0, withheld: 0 })
    for (const [state, slots] of Object.entries({ free, held, withheld })) {
      this.#options.metrics.set('slots', slots, { state })
    }
  }

  #writeRegistrations (active: ActiveTerm): void {
    const wanted = active.ledger.pendingRegistrations()
    if (wanted === undefined || active.pendingWrite !== undefined) return
    active.pendingWrite = this.#writeRow(active, wanted)
      .catch(throwUncaught)
      .finally(() => { active.pendingWrite = undefined })
  }

  async #writeRow (active: ActiveTerm, registrations: SlotRegistration[]): Promise<void> {
    const { table, failureDomain, metrics } = this.#options
    const value = { epoch: active.term.epoch, registrations }
    const outcome = await table.transact({
      checks: [
        { key: `slots/${failureDomain}`, version: active.term.rowVersion },
        { key: this.#registrationsKey, version: active.registrationsVersion }
      ],
      writes: [{ kind: 'put', key: this.#registrationsKey, value }]
    })
    if (outcome.isRight()) {
      active.registrationsVersion = outcome.unsafeCoerce().versions[0] ?? 0
      this.#confirm(active, registrations)
      return
    }
    metrics.count('slot_registration_failed', { reason: outcome.swap().unsafeCoerce().reason })
    // The write may have taken effect although it failed. A lost lease is detected by its next renewal.
    const row = (await table.read(this.#registrationsKey)).orDefault(undefined)
    if (row === undefined) return
    const stored = row.value as typeof value
    if (stored.epoch !== value.epoch) return
    active.registrationsVersion = row.version
    if (JSON.stringify(stored.registrations) === JSON.stringify(registrations)) this.#confirm(active, registrations)
  }

  #confirm (active: ActiveTerm, registrations: SlotRegistration[]): void {
    active.registrations = registrations
    active.ledger.confirmRegistrations(registrations)
  }
}

function registrationKey ({ entry, incarnation }: { entry: string, incarnation: string }): string {
  return `${entry}/${incarnation}`
}
