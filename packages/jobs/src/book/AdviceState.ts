interface Ticket {
  value: string
  /** Steady time until which the ticket may be used, in ms. */
  until: number
}

/** What is known of the workers that the policy allows for one step. */
export class AdviceState {
  readonly #tickets = new Map<string, Ticket>()
  readonly #known = new Map<string, boolean>()
  pending = false
  /** Steady time before which advice isn't asked for again, in ms; set after a failed call. */
  notBefore = 0

  /** Records an answer for the workers that were named. */
  record (named: readonly string[], tickets: ReadonlyArray<readonly [string, string]>, until: number): void {
    const good = new Map(tickets)
    for (const worker of named) {
      const ticket = good.get(worker)
      this.#known.set(worker, ticket !== undefined)
      if (ticket !== undefined) this.#tickets.set(worker, { value: ticket, until })
    }
  }

  /** Ticket that can still be used at `now`. */
  ticket (worker: string, now: number): string | undefined {
    const ticket = this.#tickets.get(worker)
    return ticket !== undefined && ticket.until > now ? ticket.value : undefined
  }

  drop (worker: string): void {
    this.#tickets.delete(worker)
  }

  /** Whether the policy allows the worker; undefined when nobody has asked. */
  isGood (worker: string): boolean | undefined {
    return this.#known.get(worker)
  }
}
