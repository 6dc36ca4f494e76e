import { failureOf, sleep, throwUncaught, type Outcome } from '@gypsumspring/protocol'
import { LatencyAverage } from '../latencyAverage/LatencyAverage.ts'
import type { Commit, CommitResult, RecordStore } from '../ports.ts'
import { PendingCopies } from './PendingCopies.ts'

/** Minimum delay before an unanswered commit is sent again, in ms; a commit takes about 13 ms. */
const MIN_RESEND_MS = 60

/** A commit is sent again after this multiple of the average latency, since resending adds load to a slow store. */
const RESEND_FACTOR = 4

/** Maximum number of copies of one commit while the store does not answer, with doubling delays. */
const MAX_COPIES = 5

/** Maximum number of copies of one commit while single answers are lost, with equal delays. */
const MAX_LOSSY_COPIES = 15

/** Time for which the store counts as losing answers after an answer was found to be lost, in ms. */
const LOSSY_PERIOD_MS = 2_000

/** What the commits to one store have shown about it. */
interface StoreCondition {
  latency: LatencyAverage
  /** Monotonic time at which a commit was last answered while an earlier copy of it was not, in ms. */
  lostAnswerAt: number
}

const conditions = new WeakMap<RecordStore, StoreCondition>()

/**
 * Sends copies of a commit one after the other until one is answered (request hedging). The delay between copies
 * doubles, since a store that answers nothing is slow or down; it stays the same while the store answers some calls and
 * loses the answers of others. A copy that fails is followed at once by the one for the next partition. Use it only for
 * commits that may be applied more than once or of which at most one can succeed.
 *
 * @param store - The store.
 * @param commits - The commit for each partition that may be tried, in order of preference.
 * @param pending - Records the copies that are sent. Those that are unanswered when the first result arrives may still
 * be applied; no further copy is sent then. Default: a record that is dropped.
 * @returns The first result, else the last failure; a failure with certainty `unknown` takes precedence.
 */
export async function commitHedged (
  store: RecordStore, commits: readonly Commit[], pending = new PendingCopies()
): Promise<Outcome<CommitResult>> {
  const condition = getCondition(store)
  const isLossy = () => performance.now() - condition.lostAnswerAt < LOSSY_PERIOD_MS
  const unanswered = new Set<number>()
  let isSettled = false
  let sent = 0
  let uncertain: Outcome<CommitResult> | undefined
  return await new Promise((resolve) => {
    const settle = (outcome: Outcome<CommitResult>) => {
      isSettled = true
      resolve(outcome)
    }
    const send = async () => {
      const copy = sent++
      const sentAt = performance.now()
      unanswered.add(copy)
      const commit = commits[copy % commits.length]!
      pending.recordSent(commit)
      const outcome = await store.commit(commit)
      pending.recordOutcome(commit, outcome)
      unanswered.delete(copy)
      if (outcome.isRight()) condition.latency.record(performance.now() - sentAt)
      if (isSettled) return
      if (outcome.isRight()) {
        // A partition executes its transactions in order, so that an earlier copy is answered first unless it was lost.
        const isOvertaken = (earlier: number) => earlier < copy && (copy - earlier) % commits.length === 0
        if ([...unanswered].some(isOvertaken)) condition.lostAnswerAt = performance.now()
        settle(outcome)
        return
      }
      if (failureOf(outcome)?.certainty === 'unknown') uncertain = outcome
      if (sent < commits.length) await send()
      else if (unanswered.size === 0) settle(uncertain ?? outcome)
    }
    const resend = async () => {
      send().catch(throwUncaught)
      const firstDelayMs = Math.max(MIN_RESEND_MS, RESEND_FACTOR * condition.latency.ms)
      for (let delayMs = firstDelayMs; sent < (isLossy() ? MAX_LOSSY_COPIES : MAX_COPIES);) {
        await sleep(delayMs)
        if (isSettled) return
        send().catch(throwUncaught)
        delayMs = isLossy() ? firstDelayMs : 2 * delayMs
      }
    }
    resend().catch(throwUncaught)
  })
}

function getCondition (store: RecordStore): StoreCondition {
  const known = conditions.get(store) ?? { latency: new LatencyAverage(), lostAnswerAt: -Infinity }
  conditions.set(store, known)
  return known
}
