import { rethrow } from '@gypsumspring/protocol'
import type { AdviceTiming, TaskKey } from '../types.ts'
import { SLOW_ADVICE_MS } from '../constants/index.ts'
import { selectAdviceCandidates } from '../placement/selectAdviceCandidates/index.ts'
import type { Advice, Adviser } from '../ports.ts'
import type { StepInstance } from '../model/index.ts'
import type { WorkerState } from '../workers/WorkerState.ts'
import type { Cell } from './Cell.ts'

/** A node that can ask for advice; each has its own queue at the policy service. */
export interface AdvisingNode {
  id: string
  adviser: Adviser
}

interface Question {
  step: StepInstance
  terms: AdviceTiming
  workers: string[]
  expectedMs: number
}

interface NodeState {
  node: AdvisingNode
  /** Calls that are under way, and whether one of them is slow. */
  open: number
  slow: number
  /** Steady time until which the node isn't used, in ms; set after a call without answer. */
  restUntil: number
}

/** Share of the nodes on which no slow call is made, so that quick ones don't wait behind them. */
const QUICK_SHARE = 0.3

/** Quick calls under way on one node; more would only wait at the service. */
const QUICK_PER_NODE = 2

/** Time that a call may take beyond what its terms say, in ms. */
const ANSWER_SLACK_MS = 600

/** Time that a node without answer isn't used, in ms. */
const REST_MS = 1_000

/** Share of the workers that the policy is taken to allow before the first answer of a queue. */
const INITIAL_SHARE = 0.5

/** Weight of a new answer in that share. */
const SHARE_GAIN = 0.1

/** Time after a failed call before the step asks again, in ms. */
const RETRY_MS = 100

/**
 * Spreads calls for advice over the nodes. The policy service answers one call at a time for each calling machine, so
 * slow calls are kept away from a share of the nodes, and calls wait here, by priority, until a node is free.
 */
export class AdviceDesk {
  readonly #cell: Cell
  readonly #nodes = new Map<string, NodeState>()
  /** Share of the named workers that the policy allowed, by queue, as a moving average. */
  readonly #allowedShares = new Map<string, number>()
  #waiting: Question[] = []

  constructor (cell: Cell) {
    this.#cell = cell
  }

  addNode (node: AdvisingNode): void {
    const known = this.#nodes.get(node.id)
    if (known !== undefined) known.node = node
    else this.#nodes.set(node.id, { node, open: 0, slow: 0, restUntil: 0 })
    this.#dispatch()
  }

  removeNode (id: string): void {
    this.#nodes.delete(id)
  }

  /** Asks which of the workers may run a step of a queue with a policy, unless that is being asked already. */
  ask (step: StepInstance, workers: readonly WorkerState[]): void {
    const { advice: terms, name } = step.job.job.queue
    if (terms === undefined || step.advice.pending || step.advice.notBefore > this.#cell.now()) return
    const named = selectAdviceCandidates(step, workers, this.#allowedShares.get(name) ?? INITIAL_SHARE)
    if (named.length === 0) return
    step.advice.pending = true
    this.#waiting.push({ step, terms, workers: named, expectedMs: terms.decisionMs + terms.perWorkerMs * named.length })
    this.#dispatch()
  }

  #dispatch (): void {
    this.#waiting = this.#waiting.filter((question) => {
      const unneeded = question.step.job.isOver || question.step.job.cancelled
      if (unneeded) question.step.advice.pending = false
      return !unneeded
    })
    this.#waiting.sort((a, b) => a.step.job.job.queue.priority - b.step.job.job.queue.priority)
    this.#waiting = this.#waiting.filter((question) => {
      const state = this.#chooseNode(question.expectedMs > SLOW_ADVICE_MS)
      if (state === undefined) return true
      this.#send(state, question).catch(rethrow)
      return false
    })
  }

  #chooseNode (slow: boolean): NodeState | undefined {
    const now = this.#cell.now()
    const nodes = [...this.#nodes.values()]
    const reserved = nodes.length > 1 ? Math.ceil(nodes.length * QUICK_SHARE) : 0
    const candidates = slow
      ? nodes.slice(reserved).filter(({ open, restUntil }) => open === 0 && restUntil <= now)
      : nodes.filter(({ open, slow: slowOnes, restUntil }) => slowOnes === 0 && open < QUICK_PER_NODE &&
        restUntil <= now)
    return candidates.sort((a, b) => a.open - b.open)[0]
  }

  async #send (state: NodeState, question: Question): Promise<void> {
    const { step, terms, workers, expectedMs } = question
    const slow = expectedMs > SLOW_ADVICE_MS ? 1 : 0
    state.open++
    state.slow += slow
    const sentAt = this.#cell.now()
    const name: Pick<TaskKey, 'job' | 'occurrence' | 'step'> = {
      job: step.job.id,
      occurrence: step.occurrence,
      step: step.index
    }
    const outcome = await state.node.adviser.advise(name, workers, expectedMs * (QUICK_PER_NODE + 1) + ANSWER_SLACK_MS)
    state.open--
    state.slow -= slow
    step.advice.pending = false
    const now = this.#cell.now()
    this.#cell.counters.recordDuration('advice_time', now - sentAt)
    outcome.caseOf({
      Left: (failure) => {
        step.advice.notBefore = now + RETRY_MS
        if (failure.reason !== 'overloaded') state.restUntil = now + REST_MS
        this.#cell.counters.count('advice_failed', { reason: failure.reason })
        this.#cell.log.warn({
          job: step.job.id,
          step: step.name,
          node: state.node.id,
          reason: failure.reason,
          waitedMs: Math.round(now - sentAt)
        }, 'advice failed')
      },
      // The ticket's time begins when the service answers, which is after the call was sent.
      Right: ({ tickets }) => {
        this.#recordShare(step, workers, tickets)
        step.advice.record(workers, tickets, Math.max(now - TRANSIT_MS, sentAt) + terms.validMs)
      }
    })
    this.#cell.changed()
    this.#dispatch()
  }

  /** Counts the workers of which it wasn't known whether the policy allows them. */
  #recordShare (step: StepInstance, workers: readonly string[], tickets: Advice['tickets']): void {
    const unknown = new Set(workers.filter((worker) => step.advice.isAllowed(worker) === undefined))
    if (unknown.size === 0) return
    const { name } = step.job.job.queue
    const share = tickets.filter(([worker]) => unknown.has(worker)).length / unknown.size
    const known = this.#allowedShares.get(name) ?? share
    this.#allowedShares.set(name, known + SHARE_GAIN * (share - known))
  }

  /** Starts waiting calls that a rested node can take now. */
  tick (): void {
    if (this.#waiting.length > 0) this.#dispatch()
  }
}

/** Time that an answer may have been under way, in ms. */
const TRANSIT_MS = 50
