import { throwUncaught, type Outcome } from '@gypsumspring/protocol'
import type { ReadOptions } from '../ports.ts'

/** Maximum number of copies of one read. */
const MAX_COPIES = 3

/** Lag of a timer above which the process counts as paused, in ms; above the resolution of timers, 1 ms. */
const MAX_TIMER_LAG_MS = 2

interface Options {
  /** Time without any part of an answer after which a copy is overdue, in ms. */
  overdueAfterMs: number
  /** Longest pause between two parts of an answer, in ms. */
  stallTimeoutMs: number
  /** Called when a copy is overdue, with the monotonic time at which it was sent. Returns whether to send another. */
  onOverdue: (sentAt: number) => boolean
  /**
   * Called when a part of an answer arrives, also after the read has ended. For the first part of each copy,
   * `latencyMs` is the time since it was sent.
   */
  onProgress: (latencyMs?: number) => void
  /** Ends the read. */
  signal: AbortSignal
}

/**
 * Sends a read and, while nothing of its answer arrives, copies of it (request hedging). The first answer that begins
 * to arrive is waited for as long as parts of it keep coming, however long the transfer takes. Any other answer is cut
 * off when it begins to arrive, since it would share the link with the first one.
 *
 * @param read - Sends one copy.
 * @returns The outcome of the first copy that ends, or of the one whose answer has begun to arrive; undefined if no
 * answer came or continued in time, or if the signal aborted.
 */
export function readHedged<Value> (
  read: (options: ReadOptions) => Promise<Outcome<Value>>, options: Options
): Promise<Outcome<Value> | undefined> {
  const { overdueAfterMs, stallTimeoutMs, onOverdue, onProgress, signal } = options
  return new Promise((resolve) => {
    let isSettled = false
    let copies = 0
    let arriving: AbortController | undefined
    let timer: ReturnType<typeof setTimeout> | undefined
    let immediate: ReturnType<typeof setImmediate> | undefined
    const clearTimers = () => {
      clearTimeout(timer)
      clearImmediate(immediate)
    }
    const startTimer = (onEnd: () => void, delayMs: number) => {
      const dueAt = performance.now() + delayMs
      timer = setTimeout(() => {
        // After a pause of the process, timers run before input that has already arrived; immediates run after it.
        if (performance.now() - dueAt > MAX_TIMER_LAG_MS) immediate = setImmediate(onEnd)
        else onEnd()
      }, delayMs)
    }
    const settle = (outcome: Outcome<Value> | undefined) => {
      isSettled = true
      clearTimers()
      signal.removeEventListener('abort', onAbort)
      resolve(outcome)
    }
    const onAbort = () => settle(undefined)
    const onStall = () => {
      settle(undefined)
      arriving?.abort()
    }
    const send = () => {
      const copy = new AbortController()
      const sentAt = performance.now()
      let hasBegun = false
      copies++
      startTimer(() => {
        if (onOverdue(sentAt) && copies < MAX_COPIES) send()
        else settle(undefined)
      }, overdueAfterMs)
      const recordPart = () => {
        onProgress(hasBegun ? undefined : performance.now() - sentAt)
        hasBegun = true
        if (!isSettled) arriving ??= copy
        if (isSettled || arriving !== copy) {
          copy.abort()
          return
        }
        clearTimers()
        startTimer(onStall, stallTimeoutMs)
      }
      read({ onProgress: recordPart, signal: copy.signal }).then((outcome) => {
        if (outcome.isRight() && !hasBegun) recordPart()
        if (!isSettled && (arriving === undefined || arriving === copy)) settle(outcome)
      }, throwUncaught)
    }
    signal.addEventListener('abort', onAbort)
    send()
  })
}
