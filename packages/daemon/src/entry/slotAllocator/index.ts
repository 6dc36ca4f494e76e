import type { Table } from '@gypsumspring/adapters'
import {
  createSlotLedger, type LeaseRight, type SlotAnswer, type SlotLedger, type SlotRegistration, type SlotReport,
  type SlotRunner
} from '@gypsumspring/core'
import type { Logger } from '../../logging/index.ts'
import type { Metrics } from '../../metrics/index.ts'
import { throwUncaught, sleep } from '@gypsumspring/protocol'

/** What the allocator needs to know of its hold on the row `slots/<domain>`. */
export interface Term {
  epoch: number
  /** Version of the row, which every write of the allocator checks. */
  rowVersion: number
}

export interface DomainLease {
  right (): LeaseRight
  /** When the write was sent that renewed the lease last, in ms. */
  readonly renewedAt: number
}

export interface SlotAllocatorParts {
  failureDomain: string
  table: Table
  lease: DomainLease
  /** H, in ms. */
  runHorizonMs: number
  /** Asks an entry to report at once. */
  notify: (entry: string, epoch: number) => void
  metrics: Metrics
  logger: Logger
}

interface Office {
  term: Term
  ledger: SlotLedger
  /** Version of the row of registrations; 0 when absent. */
  version: number
  registrations: SlotRegistration[]
  /** Registrations whose process has given all its tokens back. */
  left: Set<string>
  writing: Promise<void> | undefined
}

/** Time between checks for due ends of withholding and for unwritten registrations, in ms. */
const CHECK_MS = 1000

/** Time before the registrations are read again when the store did not answer, in ms. */
const READ_RETRY_MS = 200

/**
 * The I/O around the slot ledger of one failure domain: holds office while the lease is held, answers reports, and
 * writes an entry into the row before the entry can get a token.
 */
export class SlotAllocator {
  readonly #parts: SlotAllocatorParts
  #runners: SlotRunner[] = []
  #office: Office | undefined
  /** Ends attempts to take office for a term that is over. */
  #term: Term | undefined
  #timer: ReturnType<typeof setInterval> | undefined

  constructor (parts: SlotAllocatorParts) {
    this.#parts = parts
  }

  setRunners (runners: SlotRunner[]): void {
    this.#runners = runners
    this.#office?.ledger.setRunners(runners)
  }

  /** The lease was gained: reads who may hold tokens, then answers reports. */
  async gain (term: Term): Promise<void> {
    this.#term = term
    const { table, lease, runHorizonMs, logger, failureDomain } = this.#parts
    while (this.#term === term) {
      // Read after the takeover: registrations of earlier terms can't be written any more.
      const outcome = await table.read(this.#key)
      if (this.#term !== term) return
      if (outcome.isRight()) {
        const row = outcome.unsafeCoerce()
        const registrations = (row?.value as { registrations: SlotRegistration[] } | undefined)?.registrations ?? []
        const ledger = createSlotLedger(
          { epoch: term.epoch, registrations, renewedAt: lease.renewedAt, runHorizonMs }, performance.now())
        ledger.setRunners(this.#runners)
        this.#office = { term, ledger, version: row?.version ?? 0, registrations, left: new Set(), writing: undefined }
        this.#timer = setInterval(() => this.#check(), CHECK_MS)
        logger.info({ failureDomain, epoch: term.epoch, registrations: registrations.length }, 'allocating')
        return
      }
      await sleep(READ_RETRY_MS)
    }
  }

  lose (): void {
    clearInterval(this.#timer)
    this.#term = undefined
    this.#office = undefined
  }

  /** Answers a report; epoch 0 says that this process is not the allocator. */
  report (report: SlotReport): SlotAnswer {
    const office = this.#office
    if (office === undefined || this.#parts.lease.right() === 'none') {
      this.#parts.metrics.count('slot_reports', { result: 'not-allocator' })
      return { epoch: 0, sequence: report.sequence, registered: false, validMs: 0, grants: [], releases: [] }
    }
    office.ledger.recordRenewal(this.#parts.lease.renewedAt)
    const answer = office.ledger.handleReport(report, performance.now())
    for (const entry of office.ledger.takeNotifications()) this.#parts.notify(entry, office.term.epoch)
    if (report.leaving && report.holdings.length === 0) office.left.add(registrationKey(report))
    else office.left.delete(registrationKey(report))
    this.#parts.metrics.count('slot_reports', { result: answer.registered ? 'answered' : 'unregistered' })
    this.#writeRegistrations(office)
    return answer
  }

  /** Entries listed in the row. */
  registered (): string[] {
    return [...new Set(this.#office?.registrations.map(({ entry }) => entry))]
  }

  /**
   * Ends the office before the lease is given up. Entries that have given all their tokens back are taken out of the
   * row: the ledger keeps them for a while to recognise delayed reports, but the next allocator refuses those by their
   * epoch, and would withhold every free token until an entry that is gone has answered.
   */
  async handOver (): Promise<void> {
    const office = this.#office
    if (office === undefined) return
    await office.writing
    const registrations = office.ledger.pendingRegistrations() ?? office.registrations
    this.lose()
    await this.#write(office, registrations.filter((registration) => !office.left.has(registrationKey(registration))))
  }

  /** The VM of an entry that was listed before is no longer in the inventory. */
  leave (entry: string): void {
    this.#office?.ledger.recordEntryRemoval(entry, performance.now())
  }

  usage () {
    return this.#office?.ledger.getUsage() ?? []
  }

  get epoch (): number | undefined {
    return this.#office?.term.epoch
  }

  get #key (): string {
    return `slots-entries/${this.#parts.failureDomain}`
  }

  #check (): void {
    const office = this.#office
    if (office === undefined) return
    office.ledger.tick(performance.now())
    this.#writeRegistrations(office)
    const { free, held, withheld } = office.ledger.getUsage().reduce((sum, use) => ({
      free: sum.free + use.free, held: sum.held + use.held, withheld: sum.withheld + use.withheld
    }), { free: 0, held: 0, withheld: 0 })
    for (const [state, slots] of Object.entries({ free, held, withheld })) {
      this.#parts.metrics.set('slots', slots, { state })
    }
  }

  #writeRegistrations (office: Office): void {
    const wanted = office.ledger.pendingRegistrations()
    if (wanted === undefined || office.writing !== undefined) return
    office.writing = this.#write(office, wanted)
      .catch(throwUncaught)
      .finally(() => { office.writing = undefined })
  }

  async #write (office: Office, registrations: SlotRegistration[]): Promise<void> {
    const { table, failureDomain, metrics } = this.#parts
    const value = { epoch: office.term.epoch, registrations }
    const outcome = await table.transact({
      checks: [
        { key: `slots/${failureDomain}`, version: office.term.rowVersion }, { key: this.#key, version: office.version }
      ],
      writes: [{ kind: 'put', key: this.#key, value }]
    })
    if (outcome.isRight()) {
      office.version = outcome.unsafeCoerce().versions[0] ?? 0
      this.#confirm(office, registrations)
      return
    }
    metrics.count('slot_registration_failed', { reason: outcome.swap().unsafeCoerce().reason })
    // The write may have taken effect with its answer lost. A lost lease shows at the next renewal.
    const row = (await table.read(this.#key)).orDefault(undefined)
    if (row === undefined) return
    const found = row.value as typeof value
    if (found.epoch !== value.epoch) return
    office.version = row.version
    if (JSON.stringify(found.registrations) === JSON.stringify(registrations)) this.#confirm(office, registrations)
  }

  #confirm (office: Office, registrations: SlotRegistration[]): void {
    office.registrations = registrations
    office.ledger.confirmRegistrations(registrations)
  }
}

function registrationKey ({ entry, incarnation }: { entry: string, incarnation: string }): string {
  return `${entry}/${incarnation}`
}
