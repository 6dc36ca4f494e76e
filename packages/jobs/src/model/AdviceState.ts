interface Ticket {
  value: string
  /** Monotonic time at which the ticket expires, in ms. */
  until: number
}

/** Cached answers of the policy service for one step: which workers it allows, and their tickets. */
export class AdviceState {
  readonly #tickets = new Map<string, Ticket>()
  readonly #allowed = new Map<string, boolean>()
  #allowedCount = 0
  /** The request for advice that waits or is in flight, with monotonic times in ms; undefined when there is none. */
  request: { requestedAt: number, ahead: boolean, sentAt?: number, node?: string } | undefined
  /** Monotonic time of the first request since the last answer, in ms. */
  requestedSince: number | undefined
  /** Monotonic time before which advice is not requested again, in ms; set after a failed call. */
  notBefore = 0
  /** Monotonic time at which the newest tickets expire, in ms; 0 before the first answer. */
  validUntil = 0

  /** A request for advice is waiting or in flight. */
  get pending (): boolean {
    return this.request !== undefined
  }

  /** Number of workers that the policy is known to allow. */
  get allowedCount (): number {
    return this.#allowedCount
  }

  /** Records an answer: of the workers named in the request, those without a ticket are not allowed. */
  record (named: readonly string[], tickets: ReadonlyArray<readonly [string, string]>, until: number): void {
    const granted = new Map(tickets)
    this.validUntil = until
    this.requestedSince = undefined
    for (const worker of named) {
      const ticket = granted.get(worker)
      if (ticket !== undefined && this.#allowed.get(worker) !== true) this.#allowedCount++
      this.#allowed.set(worker, ticket !== undefined)
      if (ticket !== undefined) this.#tickets.set(worker, { value: ticket, until })
    }
  }

  /** Returns the ticket for a worker unless it has expired at `now`. */
  ticket (worker: string, now: number): string | undefined {
    const ticket = this.#tickets.get(worker)
    return ticket !== undefined && ticket.until > now ? ticket.value : undefined
  }

  /** Ids of the workers for which there is a ticket that has not expired at `now`. */
  * ticketedWorkers (now: number): Iterable<string> {
    if (this.validUntil <= now) return
    for (const [worker, { until }] of this.#tickets) if (until > now) yield worker
  }

  dropTicket (worker: string): void {
    this.#tickets.delete(worker)
  }

  /** Forgets what the policy service has answered about a worker. */
  forget (worker: string): void {
    if (this.#allowed.get(worker) === true) this.#allowedCount--
    this.#allowed.delete(worker)
    this.#tickets.delete(worker)
  }

  /** Whether the policy allows the worker; undefined when no request has named it yet. */
  isAllowed (worker: string): boolean | undefined {
    return this.#allowed.get(worker)
  }
}
