import type { TrackedJob } from '../model/index.ts'

/**
 * Time for which the jobs of an account are kept, in ms. Jobs that become known late are metered at their time of
 * acceptance: callers wait 3 s for an answer, and a new owner reads jobs that were accepted while there was none.
 */
const HISTORY_MS = 10_000

/** Tolerance for sums of fractions of jobs, so that a job that comes exactly at the rate is within the share. */
const ROUNDING = 1e-6

/** What was left of the share of an account at a monotonic time, in jobs. */
interface Level {
  at: number
  left: number
}

/** A metered job, with what was left after it. */
interface Entry extends Level {
  job: TrackedJob
}

interface Account {
  /** Recent jobs by time of acceptance, then by id. */
  entries: Entry[]
  /** Level before the first entry. */
  base: Level
}

/**
 * Tells which jobs are within the share of their client account: a token bucket for each account, which gains `weight`
 * jobs a second and holds those of one second, or one job if that is more. Only the times of acceptance count, not the
 * order in which jobs become known, so that owners that know the same jobs agree on them.
 */
export class ShareMeter {
  readonly #weightOf: (account: string) => number | undefined
  readonly #accounts = new Map<string, Account>()

  /** @param weightOf returns the weight of an account; undefined when no configuration has told it */
  constructor (weightOf: (account: string) => number | undefined) {
    this.#weightOf = weightOf
  }

  /**
   * Meters a job that was accepted lately, and anew the jobs of its account that were accepted after it.
   *
   * @param now - Monotonic time, in ms.
   */
  add (job: TrackedJob, now: number): void {
    // The owner's wall clock may have been set ahead. No share would be gained until the time of the job was made up.
    this.#insert(job, Math.max(job.monotonicAcceptedAt, now - HISTORY_MS))
    this.#forgetBefore(job.definition.account, now - HISTORY_MS)
  }

  /**
   * Meters the jobs that a new owner has read from the store, however long ago they were accepted.
   *
   * @param now - Monotonic time, in ms.
   */
  restore (jobs: Iterable<TrackedJob>, now: number): void {
    const byTime = [...jobs].sort((a, b) => a.monotonicAcceptedAt - b.monotonicAcceptedAt)
    for (const job of byTime) this.#insert(job, job.monotonicAcceptedAt)
    for (const name of this.#accounts.keys()) this.#forgetBefore(name, now - HISTORY_MS)
  }

  #insert (job: TrackedJob, at: number): void {
    const { account: name } = job.definition
    const weight = name === undefined ? undefined : this.#weightOf(name)
    // An account that is not in the owner's configuration may be new: another node knew it when it accepted the job.
    if (name === undefined || weight === undefined) return
    let account = this.#accounts.get(name)
    if (account === undefined) {
      account = { entries: [], base: { at: -Infinity, left: Infinity } }
      this.#accounts.set(name, account)
    }
    const { entries, base } = account
    let index = entries.length
    while (index > 0 && isBefore(at, job, entries[index - 1]!)) index--
    entries.splice(index, 0, { at, left: 0, job })
    let level: Level = index === 0 ? base : entries[index - 1]!
    for (const entry of entries.slice(index)) {
      meter(entry, level, weight)
      level = entry
    }
  }

  /** Forgets the jobs of an account that were accepted before a monotonic time, except for what they left. */
  #forgetBefore (name: string | undefined, time: number): void {
    const account = name === undefined ? undefined : this.#accounts.get(name)
    if (account === undefined) return
    const { entries } = account
    const first = entries.findIndex(({ at }) => at >= time)
    const [last] = entries.splice(0, first < 0 ? entries.length : first).slice(-1)
    if (last !== undefined) account.base = { at: last.at, left: last.left }
  }
}

/** Determines whether the job of an entry is within the share, and what is left after it. */
function meter (entry: Entry, before: Level, weight: number): void {
  const rate = weight > 0 ? weight : 0
  const gained = rate === 0 ? 0 : Math.max(0, entry.at - before.at) * rate / 1000
  const left = rate === 0 ? 0 : Math.min(Math.max(1, rate), before.left + gained)
  const isWithin = left >= 1 - ROUNDING
  entry.left = isWithin ? left - 1 : left
  entry.job.beyondShare = !isWithin
}

function isBefore (at: number, { id }: TrackedJob, entry: Entry): boolean {
  return at < entry.at || (at === entry.at && id < entry.job.id)
}
