import type { Row } from '@gypsumspring/adapters'
import { isLeaseExpired, getLeaseRight, type LeaseRight } from '@gypsumspring/core'
import type { Ownership, RenewalRow, LeaseOptions, ShardRow } from './types.ts'

/** Interval between renewals as a fraction of the lease duration: three renewals fit into one lease. */
const RENEWAL_INTERVAL_FRACTION = 0.3

/** Delay after a write that failed or got no response, as a fraction of the lease duration. */
const RETRY_DELAY_FRACTION = 0.05

export type * from './types.ts'

/**
 * Acquires and renews the lease of one shard. A candidate polls the two rows of the shard and takes over when they have
 * not changed for 1.03 times the lease duration; the margin covers clock drift between processes. `onGained` and
 * `onLost` are called alternately.
 */
export class Lease {
  readonly #options: LeaseOptions
  #owned: Ownership | undefined
  #renewedAt = -Infinity
  #renewals = 0
  #observed: { content: string, since: number } | undefined
  #currentOwner: string | undefined
  #timer: NodeJS.Timeout | undefined
  #closed = false
  #currentCycle: Promise<void> | undefined

  constructor (options: LeaseOptions) {
    this.#options = options
  }

  /** Id of the process that owns the shard, as of the last read of the shard's row. */
  get currentOwner (): string | undefined {
    return this.#owned === undefined ? this.#currentOwner : this.#options.owner
  }

  /** When the last write that acquired or renewed the lease was sent, in ms on the monotonic clock. */
  get renewedAt (): number {
    return this.#renewedAt
  }

  /** What this process may do with the shard now: `decide`, `sustain` (only renew task leases) or `none`. */
  right (): LeaseRight {
    if (this.#owned === undefined || this.#closed) return 'none'
    return getLeaseRight(this.#renewedAt, performance.now(), this.#options.durations)
  }

  start (): void {
    this.#schedule(0)
  }

  /** Gives up the ownership, for instance when a failed write or a worker reveals that there is another owner. */
  markLost (reason: string): void {
    if (this.#owned === undefined) return
    this.#options.log.warn({ shard: this.#options.shard, epoch: this.#owned.epoch, reason }, 'shard lost')
    this.#options.metrics.count(`${this.#prefix}_lost`, { reason })
    this.#owned = undefined
    this.#observed = undefined
    this.#options.onLost()
  }

  /** Stops the lease. Releases an owned shard, so that the next owner need not wait for the lease to expire. */
  async close (): Promise<void> {
    this.#closed = true
    clearTimeout(this.#timer)
    await this.#currentCycle
    const owned = this.#owned
    if (owned === undefined) return
    this.markLost('closed')
    const value: RenewalRow = { epoch: owned.epoch, count: this.#renewals + 1, released: true }
    await this.#options.table.transact({
      checks: [{ key: this.#shardKey, version: owned.rowVersion }],
      writes: [{ kind: 'put', key: this.#renewalKey, value }]
    })
  }

  /** Interval between renewals by the owner, and between reads by a candidate. */
  get #renewalMs (): number {
    return this.#options.durations.shardLeaseMs * RENEWAL_INTERVAL_FRACTION
  }

  /** Delay before a failed renewal is retried, and before a takeover without a response is checked. */
  get #retryMs (): number {
    return this.#options.durations.shardLeaseMs * RETRY_DELAY_FRACTION
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
    this.#timer = setTimeout(() => { this.#currentCycle = this.#runCycle() }, delayMs)
  }

  /** Renews the lease, or reads the rows as a candidate, and schedules the next cycle. */
  async #runCycle (): Promise<void> {
    this.#schedule(this.#owned === undefined ? await this.#pollAsCandidate() : await this.#renew(this.#owned))
  }

  /** Renews the lease. Returns the delay until the next cycle, in ms. */
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
        if (this.right() !== 'decide') this.#options.log.info({ shard: owned.shard }, 'lease renewed, decisions allowed again')
        this.#renewedAt = sentAt
        return this.#renewalMs
      },
      Left: ({ reason, message }) => {
        this.#options.metrics.count(`${this.#prefix}_renewal_failed`, { reason })
        if (reason === 'conflict') {
          this.markLost('renewal-conflict')
          return this.#renewalMs
        }
        this.#options.log.warn({ shard: owned.shard, right: this.right(), message }, 'lease renewal failed')
        return this.#retryMs
      }
    })
  }

  /** Reads both rows and takes over if the shard is free. Returns the delay until the next cycle, in ms. */
  async #pollAsCandidate (): Promise<number> {
    const readAt = performance.now()
    const { table, writer, shard, durations, rank, log } = this.#options
    const shardRow = await table.read(this.#shardKey)
    const renewalRow = await table.read(this.#renewalKey)
    if (shardRow.isLeft() || renewalRow.isLeft()) return this.#renewalMs
    const [row, renewal] = [shardRow.unsafeCoerce(), renewalRow.unsafeCoerce()]
    const value = row?.value as ShardRow | undefined
    this.#currentOwner = value?.owner
    if (value !== undefined && value.writer === writer) {
      // An earlier takeover by this process took effect, but its response was lost.
      log.info({ shard, epoch: value.epoch }, 'takeover took effect although its response was lost')
      this.#acquire(value.epoch, row?.version ?? 0, -Infinity)
      return 0
    }
    const released = (renewal?.value as RenewalRow | undefined)?.released === true
    const content = JSON.stringify([row?.version ?? 0, renewal?.version ?? 0])
    if (this.#observed?.content !== content) this.#observed = { content, since: performance.now() }
    // Each candidate of better rank gets one poll interval to take over first.
    const waitMs = rank() * this.#renewalMs
    const vacant = row === undefined || released
    const mayTakeOver = vacant
      ? readAt - this.#observed.since >= waitMs || waitMs === 0
      : isLeaseExpired(this.#observed.since, readAt - waitMs, durations.shardLeaseMs)
    return mayTakeOver ? await this.#takeOver(row, renewal) : this.#renewalMs
  }

  async #takeOver (row: Row | undefined, renewal: Row | undefined): Promise<number> {
    const { owner, writer, address, shard, metrics, log } = this.#options
    const epoch = ((row?.value as ShardRow | undefined)?.epoch ?? 0) + 1
    const sentAt = performance.now()
    const value: ShardRow = { owner, writer, address: address(), epoch }
    const renewed: RenewalRow = { epoch, count: 0 }
    const outcome = await this.#options.table.transact({
      // Also checks the renewal row, so that the takeover fails if the previous owner renews in the meantime.
      checks: [
        { key: this.#shardKey, version: row?.version ?? 0 }, { key: this.#renewalKey, version: renewal?.version ?? 0 }
      ],
      writes: [
        { kind: 'put', key: this.#shardKey, value }, { kind: 'put', key: this.#renewalKey, value: renewed }
      ]
    })
    return outcome.caseOf({
      Right: ({ versions }) => {
        this.#acquire(epoch, versions[0] ?? 0, sentAt)
        return this.#renewalMs
      },
      Left: ({ reason, certainty }) => {
        metrics.count(`${this.#prefix}_takeover_failed`, { reason })
        log.info({ shard, epoch, reason, certainty }, 'takeover failed')
        // After a lost response, the next read shows whether the write took effect.
        return certainty === 'unknown' ? this.#retryMs : this.#renewalMs
      }
    })
  }

  #acquire (epoch: number, rowVersion: number, renewedAt: number): void {
    if (this.#closed) return
    const { shard, log, metrics, onGained } = this.#options
    this.#renewedAt = renewedAt
    this.#renewals = 0
    this.#observed = undefined
    this.#owned = { shard, epoch, rowVersion, ownedSince: performance.now() }
    log.info({ shard, epoch }, 'lease acquired')
    metrics.count(`${this.#prefix}_taken`)
    onGained(this.#owned)
  }
}
