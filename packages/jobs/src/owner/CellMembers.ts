import { Type, type Static } from '@sinclair/typebox'
import { Instant, measureLongestElapsed } from '../instant/index.ts'
import { CONTROL_TABLE } from '../ownership/index.ts'
import type { Commit, StoredRow } from '../ports.ts'
import { decodeRow } from '../records/index.ts'

const MEMBERS_KEY = 'members'

/**
 * Longest time for which the followers of the previous owner stay in the row, in ms. They follow a new owner with their
 * next heartbeat, which may take 1.5 s while answers are lost.
 */
const INHERITED_NAMES_MS = 2_000

const MembersRow = Type.Object({
  /** Token of the owner that wrote the row. */
  token: Type.Integer({ minimum: 0 }),
  /** Names of its followers. */
  nodes: Type.Array(Type.String())
})

/** A follower's promise not to take the cell over for some time. */
export const TakeoverPromise = Type.Object({
  /** Token of the owner to which it is made. */
  token: Type.Integer({ minimum: 0 }),
  /** That owner's time in its last answer to the follower, which has made the promise after it. */
  since: Instant,
  /** Its duration, in ms. */
  durationMs: Type.Number({ minimum: 0 })
})
export type TakeoverPromise = Static<typeof TakeoverPromise>

/**
 * The followers of the owner, with their promises not to take the cell over yet. Their names are stored: a node that
 * takes over and finds its own name knows that during an outage the former owner renewed no leases without its promise,
 * and waits less for them.
 */
export class CellMembers {
  readonly #token: number
  readonly #node: string
  readonly #promises = new Map<string, TakeoverPromise | undefined>()
  /** Names that the store has, or may have, for this owner or the previous one; undefined until they are known. */
  #stored: Set<string> | undefined
  /** Names in the row that is being written. */
  #written: Set<string> | undefined
  /**
   * Names that the previous owner has stored. They stay in the row until this one has a follower: if it ends before
   * that, the nodes still find their names.
   */
  #inherited: string[] = []
  /** Monotonic time until which the inherited names are kept, in ms. */
  #inheritedUntil = 0
  /** Number of followers that this owner has stored; undefined before it has stored any row. */
  #storedCount: number | undefined

  /** @param node - Name of the owner's node. */
  constructor (token: number, node: string) {
    this.#token = token
    this.#node = node
  }

  /**
   * Reads the names of the followers of an earlier owner from the rows of `CONTROL_TABLE`.
   *
   * @param token - Token of that owner.
   * @returns The names; undefined if the row is by another owner or missing.
   */
  readFollowers (rows: readonly StoredRow[], token: number): ReadonlySet<string> | undefined {
    const members = decodeMembers(rows)
    return members.token === token ? new Set(members.nodes) : undefined
  }

  /** Takes over the stored names. From now on, `takeWrites` replaces them. */
  restore (rows: readonly StoredRow[]): void {
    const { nodes } = decodeMembers(rows)
    this.#stored = new Set(nodes)
    this.#inherited = nodes.filter((node) => node !== this.#node)
    this.#inheritedUntil = performance.now() + INHERITED_NAMES_MS
  }

  recordHeartbeat (node: string, promise: TakeoverPromise | undefined): void {
    this.#promises.set(node, promise)
  }

  remove (node: string): void {
    this.#promises.delete(node)
  }

  /** Whether there are stored followers, and all have promised not to take the cell over now. */
  get hasAllPromises (): boolean {
    // A node that finds no names allows this owner no renewals during an outage.
    if (this.#stored === undefined || (this.#storedCount ?? 0) === 0) return false
    return [...this.#stored, ...this.#promises.keys()].every((node) => {
      const promise = this.#promises.get(node)
      return promise?.token === this.#token && measureLongestElapsed(promise.since) < promise.durationMs
    })
  }

  /** Returns the row to write with the next commit, if the names differ from the stored ones. */
  takeWrites (): Commit['puts'] {
    const stored = this.#stored
    if (stored === undefined) return []
    const isInherited = this.#promises.size === 0 && performance.now() < this.#inheritedUntil
    const nodes = isInherited ? this.#inherited : [...this.#promises.keys()]
    const isSame = nodes.length === stored.size && nodes.every((node) => stored.has(node))
    if (isSame && this.#storedCount !== undefined) return []
    for (const node of nodes) stored.add(node)
    this.#written = new Set(nodes)
    const value = Buffer.from(JSON.stringify({ token: this.#token, nodes }))
    return [{ table: CONTROL_TABLE, key: MEMBERS_KEY, value }]
  }

  /** Called when the row of the last call of `takeWrites` is stored, if there was one. */
  handleWritten (): void {
    if (this.#written === undefined) return
    this.#stored = this.#written
    this.#storedCount = this.#written.size
    this.#written = undefined
  }
}

function decodeMembers (rows: readonly StoredRow[]): Static<typeof MembersRow> {
  const row = rows.find(({ key }) => key === MEMBERS_KEY)
  return decodeRow(MembersRow, row?.value) ?? { token: 0, nodes: [] }
}
