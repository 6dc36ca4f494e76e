import type { Row } from '@gypsumspring/adapters'
import { isLeaseExpired, getLeaseRight, type LeaseRight } from '@gypsumspring/core'
import type { Ownership, RenewalRow, LeaseOptions, ShardRow } from './types.ts'

/** Share of the lease between two renewals, so that three fit into it. */
const RENEWAL_SHARE = 0.3

/** Share of the lease after which a renewal without an answer is repeated. */
const RETRY_SHARE = 0.05

export type * from './types.ts'

/**
 * Competes for the ownership of one shard and renews it. As a candidate it watches the shard's two rows and takes over
 * when the renewal row has not changed for D x 1.03. Owns its timer; calls `onGained` and `onLost` in turn.
 */
export class Lease {
  readonly #options: LeaseOptions
  #owned: Ownership | undefined
  #renewedAt = -Infinity
  #renewals = 0
  #seen: { content: string, since: number } | undefined
  #currentOwner: string | undefined
  #timer: NodeJS.Timeout | undefined
  #closed = false
  #running: Promise<void> | undefined

  constructor (options: LeaseOptions) {
    this.#options = options
  }

  /** Process id in the shard's row when it was last read. */
  get currentOwner (): string | undefined {
    return this.#owned === undefined ? this.#currentOwner : this.#options.owner
  }

  /** When the write was sent that gave or renewed the lease last, in ms. */
  get renewedAt (): number {
    return this.#renewedAt
  }

  /** What this process may do with the shard at this moment. */
  right (): LeaseRight {
    if (this.#owned === undefined || this.#closed) return 'none'
    return getLeaseRight(this.#renewedAt, performance.now(), this.#options.terms)
  }

  start (): void {
    this.#schedule(0)
  }

  /** Another owner was seen by one of the owner's own writes or at a worker: gives the shard up. */
  lose (reason: string): void {
    if (this.#owned === undefined) return
    this.#options.log.warn({ shard: this.#options.shard, epoch: this.#owned.epoch, reason }, 'shard lost')
    this.#options.metrics.count(`${this.#prefix}_lost`, { reason })
    this.#owned = undefined
    this.#seen = undefined
    this.#options.onLost()
  }

  /** Stops competing. An owned shard is released, so that the next owner need not wait for the lease to lapse. */
  async close (): Promise<void> {
    this.#closed = true
    clearTimeout(this.#timer)
    await this.#running
    const owned = this.#owned
    if (owned === undefined) return
    this.lose('closed')
    const value: RenewalRow = { epoch: owned.epoch, count: this.#renewals + 1, released: true }
    await this.#options.table.transact({
      checks: [{ key: this.#shardKey, version: owned.rowVersion }],
      writes: [{ kind: 'put', key: this.#renewalKey, value }]
    })
  }

  /** Time between renewals by the owner, and between reads by a candidate. */
  get #renewalMs (): number {
    return this.#options.terms.shardLeaseMs * RENEWAL_SHARE
  }

  /** Time after which the owner repeats a renewal that got no answer. */
  get #retryMs (): number {
    return this.#options.terms.shardLeaseMs * RETRY_SHARE
  }

  get #prefix (): string {
    return this.#options.prefix ?? 'shard'
  }

  get #shardKey (): string {
    return `${this.#prefix}/${this.#options.shard}`
  }

  get #renewalKey (): string {
    return `${this.#prefix}-renewal/${this.#options.shard}`
  }

  #schedule (delayMs: number): void {
    if (this.#closed) return
    this.#timer = setTimeout(() => { this.#running = this.#turn() }, delayMs)
  }

  async #turn (): Promise<void> {
    this.#schedule(this.#owned === undefined ? await this.#watch() : await this.#renew(this.#owned))
  }

  /** Returns the time to the next turn in ms. */
  async #renew (owned: Ownership): Promise<number> {
    const sentAt = performance.now()
    const value: RenewalRow = { epoch: owned.epoch, count: ++this.#renewals }
    const outcome = await this.#options.table.transact({
      checks: [{ key: this.#shardKey, version: owned.rowVersion }],
      writes: [{ kind: 'put', key: this.#renewalKey, value }]
    })
    if (this.#owned !== owned) return this.#renewalMs
    return outcome.caseOf({
      Right: () => {
        if (this.right() !== 'decide') this.#options.log.info({ shard: owned.shard }, 'lease renewed, deciding')
        this.#renewedAt = sentAt
        return this.#renewalMs
      },
      Left: ({ reason, message }) => {
        this.#options.metrics.count(`${this.#prefix}_renewal_failed`, { reason })
        if (reason === 'conflict') {
          this.lose('renewal-conflict')
          return this.#renewalMs
        }
        this.#options.log.warn({ shard: owned.shard, right: this.right(), message }, 'renewal failed')
        return this.#retryMs
      }
    })
  }

  async #watch (): Promise<number> {
    const askedAt = performance.now()
    const { table, writer, shard, terms, rank, log } = this.#options
    const shardRow = await table.read(this.#shardKey)
    const renewalRow = await table.read(this.#renewalKey)
    if (shardRow.isLeft() || renewalRow.isLeft()) return this.#renewalMs
    const [row, renewal] = [shardRow.unsafeCoerce(), renewalRow.unsafeCoerce()]
    const value = row?.value as ShardRow | undefined
    this.#currentOwner = value?.owner
    if (value !== undefined && value.writer === writer) {
      // A takeover by this process took effect although its answer was lost.
      log.info({ shard, epoch: value.epoch }, 'takeover with a lost answer has taken effect')
      this.#gain(value.epoch, row?.version ?? 0, -Infinity)
      return 0
    }
    const released = (renewal?.value as RenewalRow | undefined)?.released === true
    const content = JSON.stringify([row?.version ?? 0, renewal?.version ?? 0])
    if (this.#seen?.content !== content) this.#seen = { content, since: performance.now() }
    const waitMs = rank() * this.#renewalMs
    const vacant = row === undefined || released
    const lapsed = vacant
      ? askedAt - this.#seen.since >= waitMs || waitMs === 0
      : isLeaseExpired(this.#seen.since, askedAt - waitMs, terms.shardLeaseMs)
    return lapsed ? await this.#take(row, renewal) : this.#renewalMs
  }

  async #take (row: Row | undefined, renewal: Row | undefined): Promise<number> {
    const { owner, writer, address, shard, metrics, log } = this.#options
    const epoch = ((row?.value as ShardRow | undefined)?.epoch ?? 0) + 1
    const sentAt = performance.now()
    const value: ShardRow = { owner, writer, address: address(), epoch }
    const renewed: RenewalRow = { epoch, count: 0 }
    const outcome = await this.#options.table.transact({
      // The renewal row is checked too: a late renewal of the old owner must win against the takeover.
      checks: [
        { key: this.#shardKey, version: row?.version ?? 0 }, { key: this.#renewalKey, version: renewal?.version ?? 0 }
      ],
      writes: [
        { kind: 'put', key: this.#shardKey, value }, { kind: 'put', key: this.#renewalKey, value: renewed }
      ]
    })
    return outcome.caseOf({
      Right: ({ versions }) => {
        this.#gain(epoch, versions[0] ?? 0, sentAt)
        return this.#renewalMs
      },
      Left: ({ reason, certainty }) => {
        metrics.count(`${this.#prefix}_takeover_failed`, { reason })
        log.info({ shard, epoch, reason, certainty }, 'takeover failed')
        // The next read tells whether a write with a lost answer took effect.
        return certainty === 'unknown' ? this.#retryMs : this.#renewalMs
      }
    })
  }

  #gain (epoch: number, rowVersion: number, renewedAt: number): void {
    if (this.#closed) return
    const { shard, log, metrics, onGained } = this.#options
    this.#renewedAt = renewedAt
    this.#renewals = 0
    this.#seen = undefined
    this.#owned = { shard, epoch, rowVersion, ownedSince: performance.now() }
    log.info({ shard, epoch }, 'lease taken over')
    metrics.count(`${this.#prefix}_taken`)
    onGained(this.#owned)
  }
}
