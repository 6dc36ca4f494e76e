import type { Member } from '@gypsumspring/protocol'

interface MemberRecord {
  member: Member
  /** Time of the latest information about the member, in ms on the monotonic clock of this process. */
  lastSeenAt: number
}

/** Tracks the other processes of the cell and how recent the information about each one is. */
export class MemberTable {
  readonly #self: string
  readonly #timeoutMs: number
  readonly #records = new Map<string, MemberRecord>()

  /**
   * @param self - Id of this process, which is excluded.
   * @param timeoutMs - Time without new information after which a member is considered dead.
   */
  constructor (self: string, timeoutMs: number) {
    this.#self = self
    this.#timeoutMs = timeoutMs
  }

  /** Merges members received from a peer. The most recent information wins, so that delayed gossip has no effect. */
  merge (members: Member[], now: number): void {
    for (const member of members) {
      const lastSeenAt = now - member.ageMs
      const known = this.#records.get(member.id)
      const isNewer = known === undefined || lastSeenAt > known.lastSeenAt
      if (member.id !== this.#self && isNewer) this.#records.set(member.id, { member, lastSeenAt })
    }
  }

  /** Lists the members within the timeout in id order, with their current age. Removes the others. */
  listLive (now: number): Member[] {
    for (const [id, { lastSeenAt }] of this.#records) {
      if (now - lastSeenAt > this.#timeoutMs) this.#records.delete(id)
    }
    return [...this.#records.values()]
      .map(({ member, lastSeenAt }) => ({ ...member, ageMs: Math.max(0, now - lastSeenAt) }))
      .sort((a, b) => a.id < b.id ? -1 : 1)
  }

  find (id: string): Member | undefined {
    return this.#records.get(id)?.member
  }
}
