import { throwUncaught } from '@gypsumspring/protocol'
import type { AdviceTiming, TaskKey } from '../types.ts'
import { MAX_ADVICE_WORKERS, SLOW_ADVICE_MS, TICKET_MARGIN_MS } from '../constants/index.ts'
import { rankStep } from '../placement/orderSteps/index.ts'
import type { SpeedPreference } from '../runTimes/chooseSpeedPreference/index.ts'
import { selectAdviceCandidates } from '../placement/selectAdviceCandidates/index.ts'
import type { Advice, Adviser } from '../ports.ts'
import type { StepInstance } from '../model/index.ts'
import type { WorkerState } from '../workers/WorkerState.ts'
import type { Cell } from './Cell.ts'

/** A node through which the policy service can be called. The service keeps a separate queue for each node. */
export interface AdviceNode {
  id: string
  adviser: Adviser
}

interface AdviceRequest {
  step: StepInstance
  timing: AdviceTiming
  /** Ids of the workers that the policy service is asked about. */
  workers: string[]
  /** Selects these workers again, after a wait in which others may have got or lost room. */
  reselect: () => string[]
  /** Expected duration of the call, in ms. */
  expectedMs: number
  /** The tickets are for workers that have no room yet, so the call may wait for others. */
  ahead: boolean
  /** Monotonic time of the step's first request since its last answer, in ms. */
  requestedAt: number
  /** Monotonic time at which the call was sent, in ms; undefined before. */
  sentAt?: number
  /** Node that makes the call. */
  node?: string
}

interface NodeState {
  node: AdviceNode
  /** Calls in flight. */
  openCalls: number
  /** Calls in flight that are expected to be slow. */
  slowCalls: number
  /** Monotonic time until which the node is not used, in ms; set after a failure other than overload. */
  pausedUntil: number
}

/** Share of the nodes that make no slow calls, so that fast calls never queue behind slow ones. */
const RESERVED_NODE_SHARE = 0.3

/**
 * Time after the last request for a fast call from which only one node, and none of two, is reserved for such calls, in
 * ms. The next fast call may then wait for a slow one of about 1 s, so that this must be rare.
 */
const FAST_CALLS_ENDED_MS = 5_000

/**
 * Share of the nodes that make no fast calls while slow ones wait. A slow call needs a node without calls in flight,
 * and a backlog of fast ones leaves none.
 */
const SLOW_NODE_SHARE = 0.3

/** Share of the nodes for slow calls that make none ahead of room, so that steps that can start at once find a node. */
const AHEAD_FREE_SHARE = 0.5

/** Most fast calls in flight on one node; more would only wait in the queue of the service. */
const MAX_FAST_CALLS_PER_NODE = 2

/**
 * Time after which a queued request is overdue, in ms. Steps that wait for room ask again as soon as they are answered,
 * so that those of urgent queues could take all nodes for good. Every second request that is sent is the oldest overdue
 * one, so that a backlog does not delay urgent requests by more than one call either.
 */
const MAX_QUEUED_MS = 1_500

/** Added to the expected duration of a call to get its timeout, in ms. */
const TIMEOUT_MARGIN_MS = 600

/** Time for which a node is not used after a call that failed for another reason than overload, in ms. */
const NODE_PAUSE_MS = 1_000

/** Share of the workers that the policy is assumed to allow before the first answer for a queue. */
const INITIAL_ALLOWED_SHARE = 0.5

/** Weight of a new answer in the moving average of the allowed share. */
const ALLOWED_SHARE_SMOOTHING = 0.1

/** Wait in the queue after which the workers to name are selected again, in ms; a round is rarely further away. */
const RESELECT_AFTER_MS = 100

/** Delay before a step requests advice again after a failed call, in ms. */
const RETRY_DELAY_MS = 100

/**
 * Distributes calls to the policy service over the nodes. The service processes one call at a time per calling machine,
 * so requests are queued here until a node is free, by priority and, every second time, by age. A share of the nodes is
 * reserved for fast calls.
 */
export class AdviceDispatcher {
  readonly #cell: Cell
  readonly #nodes = new Map<string, NodeState>()
  /** Share of the workers asked about that the policy allowed, by queue, as a moving average. */
  readonly #allowedShares = new Map<string, number>()
  /** Whether the last request that was sent had come first by age, for each lane. */
  readonly #sentByAge = new Map<string, boolean>()
  #queue: AdviceRequest[] = []
  /** The queue has changed since it was sorted. Sorting it for each answer took a node's processor with 1,000 steps. */
  #isUnsorted = false
  /** Monotonic time of the last request for a fast call, or at first of the start of the owner, in ms. */
  #fastRequestedAt: number

  constructor (cell: Cell) {
    this.#cell = cell
    this.#fastRequestedAt = cell.now()
  }

  addNode (node: AdviceNode): void {
    const known = this.#nodes.get(node.id)
    if (known !== undefined) known.node = node
    else this.#nodes.set(node.id, { node, openCalls: 0, slowCalls: 0, pausedUntil: 0 })
    this.#dispatch()
  }

  removeNode (id: string): void {
    this.#nodes.delete(id)
  }

  /** Requests advice for a step whose queue has a policy, unless a request is pending or was made too recently. */
  request (step: StepInstance, workers: readonly WorkerState[]): void {
    const { advice: timing, name } = step.job.definition.queue
    if (timing === undefined || step.advice.pending || step.advice.notBefore > this.#cell.now()) return
    const allowedShare = () => this.#allowedShares.get(name) ?? INITIAL_ALLOWED_SHARE
    const select = () => selectAdviceCandidates(step, workers, allowedShare(), this.#preferenceOf(step))
    const named = select()
    if (named.length === 0) return
    const expectedMs = expectDuration(timing, named.length)
    this.#enqueue({ step, timing, workers: named, reselect: select, expectedMs, ahead: false })
  }

  #preferenceOf (step: StepInstance): SpeedPreference | undefined {
    const now = this.#cell.now()
    const pool = this.#cell.poolOf(step.job.definition)
    const schedule = { ...rankStep(step, now), isUrgent: this.#cell.isUrgent(step, pool) }
    return this.#cell.runTimes.preferenceOf(schedule, pool, now)
  }

  /**
   * Renews the tickets of a step that waits for room before they expire, so that the step can start as soon as one of
   * its workers has room. Does nothing for fast calls, which cost little time once there is room.
   */
  renew (step: StepInstance, workers: readonly WorkerState[]): void {
    const { advice: timing } = step.job.definition.queue
    const now = this.#cell.now()
    if (timing === undefined || step.advice.pending || step.advice.notBefore > now) return
    const expectedMs = expectDuration(timing, step.advice.allowedCount)
    if (expectedMs <= SLOW_ADVICE_MS || step.advice.validUntil > now + expectedMs + TICKET_MARGIN_MS) return
    const named = workers.filter(({ id, acceptsTasks }) => acceptsTasks && step.advice.isAllowed(id) === true)
      .slice(0, MAX_ADVICE_WORKERS).map(({ id }) => id)
    if (named.length === 0 || this.#chooseNode({ expectedMs, ahead: true }) === undefined) return
    this.#enqueue({ step, timing, workers: named, reselect: () => named, expectedMs, ahead: true })
  }

  /**
   * Withdraws a request for room that others have taken, unless the call is made already. If the step requests advice
   * again, its age counts from the first request.
   */
  withdraw ({ advice }: StepInstance): void {
    const { request } = advice
    if (request?.sentAt === undefined && request?.ahead === false) advice.request = undefined
  }

  #enqueue (fields: Omit<AdviceRequest, 'requestedAt'>): void {
    const now = this.#cell.now()
    const { advice } = fields.step
    advice.requestedSince ??= now
    const request = { ...fields, requestedAt: advice.requestedSince }
    advice.request = request
    if (request.expectedMs <= SLOW_ADVICE_MS) this.#fastRequestedAt = now
    this.#queue.push(request)
    this.#isUnsorted = true
    // While no node is free for the request, no other one of the queue finds one either.
    if (this.#chooseNode(request) !== undefined) this.#dispatch()
  }

  #dispatch (): void {
    this.#queue = this.#queue.filter((request) => {
      const { advice, job } = request.step
      if (job.isOver || job.cancelled) advice.request = undefined
      return advice.request === request
    })
    const overdueBefore = this.#cell.now() - MAX_QUEUED_MS
    for (const request of this.#queue) {
      if (!request.ahead || request.requestedAt >= overdueBefore) continue
      request.ahead = false
      this.#isUnsorted = true
    }
    const isOnlyNode = this.#listNodesInUse().length === 1
    const first = this.#chooseFirst(overdueBefore, isOnlyNode)
    this.#sortQueue(first)
    // Calls that are sent make no node free, so that a kind of call that finds none need not be tried again.
    const kindsWithoutNode = new Set<string>()
    const sent: AdviceRequest[] = []
    let isHeldBack = false
    this.#queue = this.#queue.filter((request) => {
      const kind = `${request.expectedMs > SLOW_ADVICE_MS} ${request.ahead}`
      if (isHeldBack || kindsWithoutNode.has(kind)) return true
      const state = this.#chooseNode(request)
      if (state === undefined) {
        kindsWithoutNode.add(kind)
        // A backlog of fast calls would never leave the only node to a slow one.
        isHeldBack = first.has(request) && isOnlyNode
        return true
      }
      sent.push(request)
      this.#send(state, request).catch(throwUncaught)
      return false
    })
    for (const request of sent) this.#sentByAge.set(toLane(request, isOnlyNode), first.has(request))
  }

  /** Sorts by urgency and puts the given requests first. */
  #sortQueue (first: ReadonlySet<AdviceRequest>): void {
    if (this.#isUnsorted) {
      this.#queue.sort((a, b) => Number(a.ahead) - Number(b.ahead) ||
        a.step.job.definition.queue.priority - b.step.job.definition.queue.priority)
    }
    // A request that is moved to the front and not sent is out of its place.
    this.#isUnsorted = first.size > 0
    if (first.size > 0) this.#queue = [...first, ...this.#queue.filter((request) => !first.has(request))]
  }

  /** Chooses the oldest overdue request of each lane, unless the last one that was sent there had come first by age. */
  #chooseFirst (overdueBefore: number, isOnlyNode: boolean): Set<AdviceRequest> {
    const oldest = new Map<string, AdviceRequest>()
    for (const request of this.#queue) {
      const lane = toLane(request, isOnlyNode)
      if (request.requestedAt >= overdueBefore || this.#sentByAge.get(lane) === true) continue
      if (request.requestedAt < (oldest.get(lane)?.requestedAt ?? Infinity)) oldest.set(lane, request)
    }
    return new Set(oldest.values())
  }

  #listNodesInUse (): NodeState[] {
    const now = this.#cell.now()
    return [...this.#nodes.values()].filter(({ pausedUntil }) => pausedUntil <= now)
  }

  #chooseNode ({ expectedMs, ahead }: Pick<AdviceRequest, 'expectedMs' | 'ahead'>): NodeState | undefined {
    const isSlow = expectedMs > SLOW_ADVICE_MS
    // Shares are of the nodes in use: the only node for one kind of call may be the one that is paused.
    const nodes = this.#listNodesInUse()
    const reserved = this.#countReservedNodes(nodes.length)
    const candidates = isSlow
      ? nodes.slice(reserved).filter(({ openCalls }) => openCalls === 0)
      : nodes.slice(0, nodes.length - this.#countNodesForSlowCalls(nodes.length))
        .filter(({ openCalls, slowCalls }) => slowCalls === 0 && openCalls < MAX_FAST_CALLS_PER_NODE)
    if (ahead && candidates.length <= AHEAD_FREE_SHARE * (nodes.length - reserved)) return undefined
    return candidates.sort((a, b) => a.openCalls - b.openCalls)[0]
  }

  /** Number of the nodes in use, at the start of their list, that make no slow calls now. */
  #countReservedNodes (nodes: number): number {
    if (this.#cell.now() - this.#fastRequestedAt > FAST_CALLS_ENDED_MS) return nodes > 2 ? 1 : 0
    return nodes > 1 ? Math.ceil(nodes * RESERVED_NODE_SHARE) : 0
  }

  /** Number of the nodes in use, at the end of their list, that make no fast calls now. */
  #countNodesForSlowCalls (nodes: number): number {
    const isSlowCallWaiting = this.#queue.some(({ expectedMs, ahead }) => expectedMs > SLOW_ADVICE_MS && !ahead)
    return isSlowCallWaiting && nodes > 1 ? Math.ceil(nodes * SLOW_NODE_SHARE) : 0
  }

  async #send (state: NodeState, request: AdviceRequest): Promise<void> {
    const { step, timing, expectedMs } = request
    const workers = chooseNamed(request, this.#cell.now())
    const slowCount = expectedMs > SLOW_ADVICE_MS ? 1 : 0
    state.openCalls++
    state.slowCalls += slowCount
    const named = new Map(workers.map((id) => [id, this.#cell.workers.get(id)]))
    const sentAt = this.#cell.now()
    Object.assign(request, { sentAt, node: state.node.id })
    const stepKey: Pick<TaskKey, 'job' | 'occurrence' | 'step'> = {
      job: step.job.id,
      occurrence: step.occurrence,
      step: step.index
    }
    const outcome = await state.node.adviser.advise(
      stepKey, workers, expectedMs * (MAX_FAST_CALLS_PER_NODE + 1) + TIMEOUT_MARGIN_MS
    )
    state.openCalls--
    state.slowCalls -= slowCount
    step.advice.request = undefined
    const now = this.#cell.now()
    this.#cell.metrics.recordDuration('advice_time', now - sentAt)
    outcome.caseOf({
      Left: (failure) => {
        step.advice.notBefore = now + RETRY_DELAY_MS
        if (failure.reason !== 'overloaded') state.pausedUntil = now + NODE_PAUSE_MS
        this.#cell.metrics.count('advice_failed', { reason: failure.reason })
        this.#cell.log.warn({
          job: step.job.id,
          step: step.name,
          node: state.node.id,
          reason: failure.reason,
          waitedMs: Math.round(now - sentAt)
        }, 'call for advice failed')
      },
      // A ticket is valid from the time at which the service answers, which is not before the call was sent.
      Right: ({ tickets }) => {
        // An answer about a worker that has started again meanwhile may be for the incarnation before.
        const isCurrent = (id: string) => this.#cell.workers.get(id) === named.get(id)
        const present = workers.filter(isCurrent)
        const valid = tickets.filter(([id]) => isCurrent(id))
        this.#recordShare(step, present, valid)
        step.advice.record(present, valid, Math.max(now - MAX_TRANSIT_MS, sentAt) + timing.validMs)
      }
    })
    this.#cell.notifyChange()
    this.#dispatch()
  }

  /**
   * Updates the average share of allowed workers. Only workers that the policy had not decided on for this step count.
   */
  #recordShare (step: StepInstance, workers: readonly string[], tickets: Advice['tickets']): void {
    const unknown = new Set(workers.filter((worker) => step.advice.isAllowed(worker) === undefined))
    if (unknown.size === 0) return
    const { name } = step.job.definition.queue
    const share = tickets.filter(([worker]) => unknown.has(worker)).length / unknown.size
    const known = this.#allowedShares.get(name) ?? share
    this.#allowedShares.set(name, known + ALLOWED_SHARE_SMOOTHING * (share - known))
  }

  /** Sends queued requests when the pause of a node has ended. */
  tick (): void {
    if (this.#queue.length > 0) this.#dispatch()
  }
}

/** Names the lane of a request. Requests of one lane wait for the same nodes. */
function toLane ({ expectedMs }: AdviceRequest, isOnlyNode: boolean): string {
  if (isOnlyNode) return 'all'
  return expectedMs > SLOW_ADVICE_MS ? 'slow' : 'fast'
}

/** Returns the workers to name now; those of the request if none could be selected any more. */
function chooseNamed ({ workers, reselect, requestedAt }: AdviceRequest, now: number): string[] {
  const selected = now - requestedAt > RESELECT_AFTER_MS ? reselect() : workers
  return selected.length > 0 ? selected : workers
}

function expectDuration (timing: AdviceTiming, workers: number): number {
  return timing.decisionMs + timing.perWorkerMs * workers
}

/** Longest transit time assumed for an answer, in ms. */
const MAX_TRANSIT_MS = 50
