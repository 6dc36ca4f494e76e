import type { Table } from '@gypsumspring/adapters'
import { createSlotHolder, type SlotAnswer, type SlotChange, type SlotHolder, type SlotReport } from '@gypsumspring/core'
import { done, throwUncaught, type Outcome, type SlotDemand, type SlotHolding } from '@gypsumspring/protocol'
import type { Logger } from '../../logging/index.ts'
import type { Metrics } from '../../metrics/index.ts'
import type { Peers } from '../../types.ts'
import type { RouteTask } from '../routeTask/index.ts'
import { sleep } from '@gypsumspring/protocol'

export interface DomainSlotsParts {
  failureDomain: string
  self: { id: string, incarnation: string }
  table: Table
  peers: Peers
  routes: () => Map<string, Pick<RouteTask, 'use' | 'setSlotExpiry' | 'grantSlots' | 'releaseSlots' | 'trimConnections'>>
  /** Requests that wait for tokens of this domain. */
  demands: () => SlotDemand[]
  /** Answers reports when this process is the allocator itself. */
  local: (report: SlotReport) => SlotAnswer
  /** Interval between reports while requests wait, in ms. */
  reportMs: number
  metrics: Metrics
  logger: Logger
}

interface Allocator {
  owner: string
  address: string
  epoch: number
}

/** Time after which the allocator's row is read again although the allocator answers, in ms; notices a paused one. */
const ROW_READ_MS = 3000

/** Shortest time between reads of the row while the allocator does not answer, in ms. */
const ROW_RETRY_MS = 250

/** Time between reports while tokens are given back at the end of the process, in ms. */
const GIVE_BACK_STEP_MS = 20

/** Longest wait for the allocator's answer, in ms. */
const ANSWER_TIMEOUT_MS = 1000

/** Interval between reports while requests wait and no token is spare, or tokens are recalled, in ms. */
const URGENT_MS = 20

/** Reports this entry's tokens of one failure domain to the domain's allocator and applies its answers. */
export class DomainSlots {
  readonly #parts: DomainSlotsParts
  readonly #holder: SlotHolder
  #allocator: Allocator | undefined
  #rowReadAt = -Infinity
  #answering = true
  #timer: ReturnType<typeof setTimeout> | undefined
  #turn: Promise<void> | undefined
  #closed = false
  #leaving = false
  /** All tokens are given back and the allocator has been told so; nothing is reported. */
  #parked = false

  constructor (parts: DomainSlotsParts) {
    this.#parts = parts
    const { id, incarnation } = parts.self
    this.#holder = createSlotHolder(id, incarnation, {
      reportIntervalMs: parts.reportMs,
      urgentIntervalMs: Math.min(URGENT_MS, parts.reportMs),
      answerTimeoutMs: ANSWER_TIMEOUT_MS
    })
  }

  /** False while the allocator is unknown or does not answer. */
  get reachable (): boolean {
    return this.#allocator !== undefined && this.#answering
  }

  /** Asks for tokens; undoes `leave`. */
  want (): void {
    this.#leaving = false
    if (!this.#parked) return
    this.#parked = false
    this.poke()
  }

  /** From now on tokens are only given back; reports end when none is left. */
  leave (): void {
    this.#leaving = true
  }

  /** Reports now or when the next report is due; to be called when requests begin to wait. */
  poke (): void {
    if (this.#closed || this.#parked || this.#turn !== undefined) return
    clearTimeout(this.#timer)
    this.#timer = setTimeout(() => this.#start(), Math.max(0, this.#nextAt() - performance.now()))
  }

  /** The allocator asks for a report at once. */
  notify (epoch: number): void {
    this.#holder.notify(epoch)
    this.poke()
  }

  holdings (): SlotHolding[] {
    return [...this.#parts.routes()].flatMap(([endpoint, task]) => task.use()
      .filter(({ failureDomain, held }) => failureDomain === this.#parts.failureDomain && held > 0)
      .map(({ runner, held, inUse, avoided }) => ({ endpoint, runner, held, inUse, avoided })))
  }

  /** Gives all tokens back and stops; after the time given the allocator withholds what is left. */
  async giveBack (withinMs: number): Promise<void> {
    this.leave()
    const end = performance.now() + withinMs
    await this.#turn
    clearTimeout(this.#timer)
    while (!this.#parked && performance.now() < end) {
      await this.#report()
      if (!this.#parked) await sleep(GIVE_BACK_STEP_MS)
    }
    this.close()
  }

  close (): void {
    this.#closed = true
    clearTimeout(this.#timer)
  }

  #start (): void {
    this.#turn = this.#report()
      .catch(throwUncaught)
      .finally(() => {
        this.#turn = undefined
        this.poke()
      })
  }

  #nextAt (): number {
    if (!this.reachable) return this.#rowReadAt + ROW_RETRY_MS
    const waiting = this.#parts.demands().reduce((sum, demand) => sum + demand.waiting, 0)
    const spare = this.holdings().reduce((sum, { held, inUse }) => sum + held - inUse, 0)
    return this.#holder.nextReportAt(waiting, spare)
  }

  async #report (): Promise<void> {
    await this.#readRow()
    const allocator = this.#allocator
    if (allocator === undefined) return
    // Connections go before the tokens that cover them are reported as released.
    for (const task of this.#parts.routes().values()) task.trimConnections()
    const leaving = this.#leaving
    const report = this.#holder.createReport(performance.now(), this.holdings(), this.#parts.demands(), leaving)
    if (report === undefined) return
    const outcome = await this.#send(allocator, report)
    this.#answering = outcome.isRight()
    outcome.ifLeft(({ reason }) => this.#parts.metrics.count('slot_reports_failed', { reason }))
    outcome.ifRight((answer) => {
      if (answer.epoch !== report.epoch) this.#answering = false
      this.#apply(this.#holder.applyAnswer(answer, performance.now()))
      if (leaving && this.#leaving && report.holdings.length === 0 && this.#answering) this.#parked = true
    })
  }

  async #send (allocator: Allocator, report: SlotReport): Promise<Outcome<SlotAnswer>> {
    if (allocator.owner === this.#parts.self.id) return done(this.#parts.local(report))
    return await this.#parts.peers.call(allocator.address, 'slots.report', report, { timeoutMs: ANSWER_TIMEOUT_MS })
  }

  #apply (change: SlotChange): void {
    const { routes, failureDomain } = this.#parts
    if (change.validUntil === undefined) return
    for (const task of routes().values()) task.setSlotExpiry(failureDomain, change.validUntil)
    for (const { endpoint, runner, slots } of change.releases) routes().get(endpoint)?.releaseSlots(runner, slots)
    // Refused grants are given back by the next report.
    if (this.#leaving) return
    for (const { endpoint, runner, slots } of change.grants) routes().get(endpoint)?.grantSlots(runner, slots)
  }

  async #readRow (): Promise<void> {
    const now = performance.now()
    if (now - this.#rowReadAt < (this.reachable ? ROW_READ_MS : ROW_RETRY_MS)) return
    this.#rowReadAt = now
    const outcome = await this.#parts.table.read(`slots/${this.#parts.failureDomain}`)
    // While the store is down the allocator known keeps serving.
    outcome.ifRight((row) => {
      const found = row?.value as Allocator | undefined
      if (found === undefined || found.epoch < this.#holder.epoch) return
      if (found.epoch > this.#holder.epoch) {
        const { logger, failureDomain } = this.#parts
        logger.info({ failureDomain, allocator: found.owner, epoch: found.epoch }, 'allocator found')
      }
      this.#allocator = found
      this.#holder.followEpoch(found.epoch)
    })
  }
}
