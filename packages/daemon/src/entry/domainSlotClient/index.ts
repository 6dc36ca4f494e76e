import type { Table } from '@gypsumspring/adapters'
import { createSlotHolder, type SlotChange, type SlotHolder, type SlotReport, type SlotResponse } from '@gypsumspring/core'
import { done, throwUncaught, type Outcome, type SlotDemand, type SlotHolding } from '@gypsumspring/protocol'
import type { Logger } from '../../logging/index.ts'
import type { Metrics } from '../../metrics/index.ts'
import type { Peers } from '../../types.ts'
import type { RequestDispatcher } from '../requestDispatcher/index.ts'
import { sleep } from '@gypsumspring/protocol'

export interface DomainSlotClientOptions {
  failureDomain: string
  self: { id: string, incarnation: string }
  table: Table
  peers: Peers
  /** Dispatchers by endpoint. */
  dispatchers: () => Map<
    string,
    Pick<RequestDispatcher, 'listSlotUsage' | 'setSlotExpiry' | 'grantSlots' | 'releaseSlots' | 'trimConnections'>
  >
  /** Numbers of requests that wait for tokens of this domain, by endpoint. */
  demands: () => SlotDemand[]
  /** Answers a report if this process is the allocator itself. */
  reportLocally: (report: SlotReport) => SlotResponse
  /** Interval between reports while requests are waiting, in ms. */
  reportMs: number
  metrics: Metrics
  log: Logger
}

interface AllocatorRow {
  owner: string
  address: string
  epoch: number
}

/** Interval between reads of the allocator's row while it responds, in ms; it may have been paused and replaced. */
const ROW_READ_INTERVAL_MS = 3000

/** Minimum time between reads of the allocator's row while the allocator does not respond, in ms. */
const ROW_RETRY_INTERVAL_MS = 250

/** Interval between reports while tokens are returned during the shutdown, in ms. */
const RETURN_REPORT_INTERVAL_MS = 20

/** Timeout of a report to the allocator, in ms. */
const REPORT_TIMEOUT_MS = 1000

/** Interval between reports while requests wait without free tokens, or while tokens are recalled, in ms. */
const URGENT_REPORT_INTERVAL_MS = 20

/** Reports this entry's tokens of one failure domain to the domain's allocator and applies its responses. */
export class DomainSlotClient {
  readonly #options: DomainSlotClientOptions
  readonly #holder: SlotHolder
  #allocator: AllocatorRow | undefined
  #rowReadAt = -Infinity
  #allocatorResponds = true
  #timer: ReturnType<typeof setTimeout> | undefined
  #activeReport: Promise<void> | undefined
  #closed = false
  #returning = false
  /** True once the allocator has confirmed the return of all tokens; no reports are sent then. */
  #idle = false

  constructor (options: DomainSlotClientOptions) {
    this.#options = options
    const { id, incarnation } = options.self
    this.#holder = createSlotHolder(id, incarnation, {
      reportIntervalMs: options.reportMs,
      urgentIntervalMs: Math.min(URGENT_REPORT_INTERVAL_MS, options.reportMs),
      responseTimeoutMs: REPORT_TIMEOUT_MS
    })
  }

  /** False while the allocator is unknown or does not respond. */
  get reachable (): boolean {
    return this.#allocator !== undefined && this.#allocatorResponds
  }

  /** Requests tokens again after `startReturning`. */
  resume (): void {
    this.#returning = false
    if (!this.#idle) return
    this.#idle = false
    this.scheduleReport()
  }

  /** Accepts no more tokens and returns those held; reports stop once none is left. */
  startReturning (): void {
    this.#returning = true
  }

  /** Schedules a report for when the next one is due. Must be called when requests start to wait. */
  scheduleReport (): void {
    if (this.#closed || this.#idle || this.#activeReport !== undefined) return
    clearTimeout(this.#timer)
    this.#timer = setTimeout(() => this.#startReport(), Math.max(0, this.#nextReportAt() - performance.now()))
  }

  /** Handles the allocator's request for an immediate report. */
  notify (epoch: number): void {
    this.#holder.notify(epoch)
    this.scheduleReport()
  }

  holdings (): SlotHolding[] {
    return [...this.#options.dispatchers()].flatMap(([endpoint, dispatcher]) => dispatcher.listSlotUsage()
      .filter(({ failureDomain, held }) => failureDomain === this.#options.failureDomain && held > 0)
      .map(({ runner, held, inUse, avoided }) => ({ endpoint, runner, held, inUse, avoided })))
  }

  /** Returns all tokens and stops. After the time limit the allocator withholds the tokens that are left. */
  async returnAll (withinMs: number): Promise<void> {
    this.startReturning()
    const end = performance.now() + withinMs
    await this.#activeReport
    clearTimeout(this.#timer)
    while (!this.#idle && performance.now() < end) {
      await this.#report()
      if (!this.#idle) await sleep(RETURN_REPORT_INTERVAL_MS)
    }
    this.close()
  }

  close (): void {
    this.#closed = true
    clearTimeout(this.#timer)
  }

  #startReport (): void {
    this.#activeReport = this.#report()
      .catch(throwUncaught)
      .finally(() => {
        this.#activeReport = undefined
        this.scheduleReport()
      })
  }

  #nextReportAt (): number {
    if (!this.reachable) return this.#rowReadAt + ROW_RETRY_INTERVAL_MS
    const waiting = this.#options.demands().reduce((sum, demand) => sum + demand.waiting, 0)
    const spare = this.holdings().reduce((sum, { held, inUse }) => sum + held - inUse, 0)
    return this.#holder.nextReportAt(waiting, spare)
  }

  async #report (): Promise<void> {
    await this.#readAllocatorRow()
    const allocator = this.#allocator
    if (allocator === undefined) return
    // Connections must be closed before the tokens that cover them are reported as released.
    for (const dispatcher of this.#options.dispatchers().values()) dispatcher.trimConnections()
    const returning = this.#returning
    const report = this.#holder.createReport(performance.now(), this.holdings(), this.#options.demands(), returning)
    if (report === undefined) return
    const outcome = await this.#send(allocator, report)
    this.#allocatorResponds = outcome.isRight()
    outcome.ifLeft(({ reason }) => this.#options.metrics.count('slot_reports_failed', { reason }))
    outcome.ifRight((response) => {
      if (response.epoch !== report.epoch) this.#allocatorResponds = false
      this.#apply(this.#holder.applyResponse(response, performance.now()))
      if (returning && this.#returning && report.holdings.length === 0 && this.#allocatorResponds) this.#idle = true
    })
  }

  async #send (allocator: AllocatorRow, report: SlotReport): Promise<Outcome<SlotResponse>> {
    if (allocator.owner === this.#options.self.id) return done(this.#options.reportLocally(report))
    return await this.#options.peers.call(allocator.address, 'slots.report', report, { timeoutMs: REPORT_TIMEOUT_MS })
  }

  #apply (change: SlotChange): void {
    const { dispatchers, failureDomain } = this.#options
    if (change.validUntil === undefined) return
    for (const dispatcher of dispatchers().values()) dispatcher.setSlotExpiry(failureDomain, change.validUntil)
    for (const { endpoint, runner, slots } of change.releases) dispatchers().get(endpoint)?.releaseSlots(runner, slots)
    // Grants that are not accepted are returned by the next report.
    if (this.#returning) return
    for (const { endpoint, runner, slots } of change.grants) dispatchers().get(endpoint)?.grantSlots(runner, slots)
  }

  async #readAllocatorRow (): Promise<void> {
    const now = performance.now()
    if (now - this.#rowReadAt < (this.reachable ? ROW_READ_INTERVAL_MS : ROW_RETRY_INTERVAL_MS)) return
    this.#rowReadAt = now
    const outcome = await this.#options.table.read(`slots/${this.#options.failureDomain}`)
    // While the store is unavailable the last known allocator stays in use.
    outcome.ifRight((row) => {
      const found = row?.value as AllocatorRow | undefined
      if (found === undefined || found.epoch < this.#holder.epoch) return
      if (found.epoch > this.#holder.epoch) {
        const { log, failureDomain } = this.#options
        log.info({ failureDomain, allocator: found.owner, epoch: found.epoch }, 'slot allocator found')
      }
      this.#allocator = found
      this.#holder.followEpoch(found.epoch)
    })
  }
}
