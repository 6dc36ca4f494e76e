import type { Member } from '@gypsumspring/protocol'

interface Entry {
  member: Member
  heardAt: number
}

/** What this process knows of the others: who was heard of, and when, on this process's own monotonic clock. */
export class MemberTable {
  readonly #self: string
  readonly #timeoutMs: number
  readonly #entries = new Map<string, Entry>()

  /**
   * @param self - Id of this process, which is never listed.
   * @param timeoutMs - A member not heard of for this long is taken for dead.
   */
  constructor (self: string, timeoutMs: number) {
    this.#self = self
    this.#timeoutMs = timeoutMs
  }

  /** Takes in what a peer said; for each member the most recent word wins, so that late gossip changes nothing. */
  merge (members: Member[], now: number): void {
    for (const member of members) {
      const heardAt = now - member.ageMs
      const known = this.#entries.get(member.id)
      const isNewer = known === undefined || heardAt > known.heardAt
      if (member.id !== this.#self && isNewer) this.#entries.set(member.id, { member, heardAt })
    }
  }

  /** Members heard of within the timeout, in id order, with their age as of now. Forgets the others. */
  live (now: number): Member[] {
    for (const [id, { heardAt }] of this.#entries) {
      if (now - heardAt > this.#timeoutMs) this.#entries.delete(id)
    }
    return [...this.#entries.values()]
      .map(({ member, heardAt }) => ({ ...member, ageMs: Math.max(0, now - heardAt) }))
      .sort((a, b) => a.id < b.id ? -1 : 1)
  }

  find (id: string): Member | undefined {
    return this.#entries.get(id)?.member
  }
}
