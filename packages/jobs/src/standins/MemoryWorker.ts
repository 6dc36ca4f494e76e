import { Notifier } from '../notifier/Notifier.ts'
import type { StartResult } from '../ports.ts'
import type { EndedRun, RunEndReason, RunOrder, StartOrder, TaskKey, WorkerEntry, WorkerReport } from '../types.ts'
import type { InvariantChecker } from './InvariantChecker.ts'
import { toTaskName } from './toTaskName.ts'
import type { WorkerBehavior } from './WorkerBehavior.ts'

/**
 * Injected fault of one call to a worker:
 * - `silent`: the call has no effect and times out.
 * - `lost`: the call takes effect, but the answer is lost.
 * - `late`: the call takes effect seconds later and is never answered. A stop takes effect on the incarnation that
 *   has the worker's id by then, all other calls only on the one that they were sent to.
 * - `unhealthy`: the worker refuses the call.
 */
export type WorkerFault = 'silent' | 'lost' | 'late' | 'unhealthy' | undefined

/** Decides why and after which time a run ends; undefined for a run that does not end by itself. */
export type PlanRunEnd = (
  key: TaskKey, run: number, worker: string
) => { reason: RunEndReason, afterMs: number } | undefined

interface SimulatedRun {
  key: TaskKey
  run: number
  endTimer: ReturnType<typeof setTimeout> | undefined
  checkpointTimer: ReturnType<typeof setInterval> | undefined
  checkpoint: string
  /** How the run has ended; undefined while it works. It is listed as running until its end is listed. */
  ended: RunEndReason | undefined
  /** Pace, in percent. */
  percent: number
}

/** Time after which a member of a gang gives up waiting for the others, in ms. */
const GANG_WAIT_MS = 3_000

interface GangMember {
  run: SimulatedRun
  /** How the run would end by itself; undefined if it would not. */
  plan: ReturnType<PlanRunEnd>
  begin: () => void
  end: (reason: RunEndReason) => void
}

/**
 * Gang runs on all workers. The members of a gang begin to work once all have started. They succeed together, and each
 * fails by itself. When one ends otherwise, the others end as `broken` unless they have ended by themselves before.
 */
export class Gangs {
  readonly #behavior: WorkerBehavior
  readonly #members = new Map<string, Set<GangMember>>()
  /** Runs of which a member has ended. */
  readonly #broken = new Set<string>()

  constructor (behavior: WorkerBehavior) {
    this.#behavior = behavior
  }

  /** Adds a member. All begin to work with the one that completes the gang, and succeed when that one does. */
  join (member: GangMember, size: number): void {
    const name = toGangName(member.run)
    const members = this.#members.get(name) ?? new Set()
    this.#members.set(name, members)
    members.add(member)
    if (this.#broken.has(name) && this.#behavior.breaksLateMembers()) this.#break(member)
    if (members.size < size) {
      member.run.endTimer = setTimeout(() => member.end('alone'), GANG_WAIT_MS)
      return
    }
    for (const { run, plan, begin, end } of members) {
      clearTimeout(run.endTimer)
      begin()
      if (plan !== undefined && plan.reason !== 'done') run.endTimer = setTimeout(() => end(plan.reason), plan.afterMs)
    }
    const { plan } = member
    if (plan?.reason === 'done') setTimeout(() => { if (members.size === size) this.#succeed(name) }, plan.afterMs)
  }

  /** Removes a member that has ended, and breaks the others. */
  leave (run: SimulatedRun): void {
    const name = toGangName(run)
    const members = this.#members.get(name)
    if (members === undefined) return
    this.#broken.add(name)
    for (const member of members) if (member.run === run) members.delete(member)
    for (const member of [...members]) this.#break(member)
  }

  #break (member: GangMember): void {
    const delayMs = this.#behavior.breakDelayMs()
    if (delayMs > 0) setTimeout(() => member.end('broken'), delayMs)
    else member.end('broken')
  }

  #succeed (name: string): void {
    const members = this.#members.get(name) ?? []
    this.#members.delete(name)
    for (const { end } of members) end('done')
  }
}

function toGangName ({ key, run }: SimulatedRun): string {
  return `${key.job}.${key.occurrence}.${key.step}.${run}`
}

/** Longest lease that workers grant, in ms; as long as the nodes of `MemoryCell` assume it to be. */
export const LEASE_LIMIT_MS = 6_000

/** One simulated incarnation of a worker with leases, fencing and a list of ended runs. */
export class MemoryWorker {
  entry: WorkerEntry
  /** Longest lease that the worker grants, in ms. */
  leaseLimitMs = LEASE_LIMIT_MS
  readonly #clockAtStartMs: number
  readonly #startedAt = performance.now()
  /** Milliseconds of the worker's clock in one of the process clock. */
  readonly #clockRate: number
  readonly #behavior: WorkerBehavior
  readonly runs = new Map<string, SimulatedRun>()
  readonly #highestRun = new Map<string, number>()
  readonly #checker: InvariantChecker
  readonly #planRunEnd: PlanRunEnd
  readonly #gangs: Gangs
  ended: EndedRun[] = []
  #sequence = 0
  /**
   * Last end that was listed when the lease expired. The owner may have given up these runs by then, so acknowledging
   * their ends does not show that it knows how they ended.
   */
  #lapsedSequence = 0
  #token = 0
  #leaseUntil = 0
  #leaseTimer: ReturnType<typeof setTimeout> | undefined
  readonly #ends = new Notifier()
  alive = true
  /** Another incarnation answers at the address of this one, which has ended. */
  replaced = false
  /** Chooses the fault to inject into each call. */
  fault: (call: 'poll' | 'start' | 'stop' | 'pace') => WorkerFault = () => undefined
  /** Chooses the usage that is reported of a run. */
  usage: (key: TaskKey) => number = () => 0

  /** @param clockMs - Reading of the worker's clock at its start, in ms. */
  constructor (
    entry: WorkerEntry, checker: InvariantChecker, gangs: Gangs, planRunEnd: PlanRunEnd, behavior: WorkerBehavior,
    clockMs: number
  ) {
    this.#behavior = behavior
    this.#clockAtStartMs = clockMs
    this.#clockRate = behavior.clockRate()
    this.#gangs = gangs
    this.entry = entry
    this.#checker = checker
    this.#planRunEnd = planRunEnd
  }

  get clockMs (): number {
    return this.#clockAtStartMs + (performance.now() - this.#startedAt) * this.#clockRate
  }

  /** Ends all runs without reporting them. */
  crash (): void {
    this.alive = false
    clearTimeout(this.#leaseTimer)
    const runs = [...this.runs]
    // Members of a gang on the same worker are lost with it: none of them is broken by another one.
    this.runs.clear()
    for (const [name, run] of runs) {
      clearTimeout(run.endTimer)
      clearInterval(run.checkpointTimer)
      this.#checker.recordEnd(name, run.run, this.entry.id, 'lost')
    }
    for (const [, run] of runs) if (run.ended === undefined) this.#gangs.leave(run)
    this.#loseEnds()
  }

  /** Records that acknowledging the listed ends does not show any more that the owner knows them. */
  #loseEnds (): void {
    for (const { sequence, key, run, reason } of this.ended) {
      if (sequence > this.#lapsedSequence) this.#checker.recordLostEnd(toTaskName(key), run, reason)
    }
    this.#lapsedSequence = this.#sequence
  }

  /** Checks a fencing token, and remembers the highest one. */
  acceptsToken (token: number): boolean {
    if (token < this.#token) return false
    this.#token = token
    return true
  }

  extendLease (requestedUntil: number | undefined): void {
    if (requestedUntil === undefined) return
    const until = Math.min(requestedUntil, this.clockMs + this.leaseLimitMs)
    if (until <= this.#leaseUntil) return
    this.#leaseUntil = until
    clearTimeout(this.#leaseTimer)
    this.#leaseTimer = setTimeout(() => {
      const runs = [...this.runs.values()]
      for (const run of runs) if (run.ended !== undefined) this.#list(run, run.ended)
      this.#loseEnds()
      for (const run of runs) this.#end(run, 'lapsed')
    }, (until - this.clockMs) / this.#clockRate)
  }

  start (order: StartOrder, leaseUntil: number): StartResult {
    const name = toTaskName(order.key)
    const known = this.runs.get(name)
    this.extendLease(leaseUntil)
    if (known?.run === order.run) return { kind: 'started' }
    if (order.run <= (this.#highestRun.get(name) ?? 0)) return { kind: 'refused', reason: 'old-run' }
    if (leaseUntil <= this.clockMs) return { kind: 'refused', reason: 'too-late' }
    if (!this.#acceptsTicket(order.ticket)) return { kind: 'refused', reason: 'no-ticket' }
    this.#highestRun.set(name, order.run)
    this.#checker.recordStart(order, this.entry)
    const run: SimulatedRun = {
      key: order.key,
      run: order.run,
      endTimer: undefined,
      checkpointTimer: undefined,
      checkpoint: order.checkpoint,
      ended: undefined,
      percent: 100
    }
    this.runs.set(name, run)
    const plannedEnd = this.#planRunEnd(order.key, order.run, this.entry.id)
    const size = this.#checker.gangSize(order.key)
    const begin = () => this.#saveProgress(run)
    if (size > 1) this.#gangs.join({ run, plan: plannedEnd, begin, end: (reason) => this.#end(run, reason) }, size)
    else {
      begin()
      if (plannedEnd !== undefined) {
        run.endTimer = setTimeout(() => this.#end(run, plannedEnd.reason), plannedEnd.afterMs)
      }
    }
    return { kind: 'started' }
  }

  /** Makes a new checkpoint of a run at intervals, if its step saves progress. */
  #saveProgress (run: SimulatedRun): void {
    const intervalMs = this.#behavior.checkpointIntervalMs()
    if (run.ended !== undefined || !Number.isFinite(intervalMs) || !this.#checker.savesProgress(run.key)) return
    run.checkpointTimer = setInterval(() => this.#makeCheckpoint(run), intervalMs)
  }

  #makeCheckpoint (run: SimulatedRun): void {
    run.checkpoint = this.#checker.recordCheckpoint(run.key)
  }

  #acceptsTicket (ticket: string): boolean {
    if (ticket === '') return true
    const [validUntil, startedAt = this.entry.startedAt] = ticket.split(' ').map(Number)
    const isExpired = validUntil! < performance.now()
    const isOfOtherIncarnation = startedAt !== this.entry.startedAt
    if (isExpired) this.#checker.expiredTickets++
    if (isOfOtherIncarnation) this.#checker.outdatedTickets++
    return !isExpired && !isOfOtherIncarnation
  }

  stop ({ key, run }: RunOrder): void {
    const name = toTaskName(key)
    this.#highestRun.set(name, Math.max(run, this.#highestRun.get(name) ?? 0))
    const known = this.runs.get(name)
    if (known === undefined || known.run > run) return
    const stopMs = this.#behavior.stopMs()
    if (stopMs > 0) setTimeout(() => this.#end(known, 'stopped'), stopMs)
    else this.#end(known, 'stopped')
  }

  pace ({ key, run }: RunOrder, percent: number): void {
    const known = this.runs.get(toTaskName(key))
    if (known?.run === run) known.percent = percent
  }

  async report (acknowledged: number, waitMs: number): Promise<WorkerReport> {
    this.ended = this.ended.filter(({ sequence, key, run }) => {
      if (sequence <= acknowledged && sequence > this.#lapsedSequence) {
        this.#checker.recordAcknowledgement(toTaskName(key), run)
      }
      return sequence > acknowledged
    })
    if (this.ended.length === 0 && waitMs > 0) await this.#ends.wait(waitMs)
    const running = [...this.runs.values()].map(({ key, run, checkpoint, percent }) => ({
      key,
      run,
      checkpoint,
      percent,
      usage: this.usage(key)
    }))
    const ended = this.ended.slice(0, this.#behavior.maxListedEnds)
    const hasMoreEnds = this.ended.length > ended.length
    return {
      clockMs: this.clockMs,
      startedAt: this.entry.startedAt,
      running: this.#behavior.orderRows(running),
      ended: this.#behavior.orderRows(ended),
      hasMoreEnds
    }
  }

  /** Ends a run, and lists its end at once or later. What a lease has ended is listed at once. */
  #end (run: SimulatedRun, reason: RunEndReason): void {
    if (run.ended !== undefined || this.runs.get(toTaskName(run.key)) !== run) return
    run.ended = reason
    clearTimeout(run.endTimer)
    clearInterval(run.checkpointTimer)
    if (reason === 'stopped' && run.checkpointTimer !== undefined) this.#makeCheckpoint(run)
    const delayMs = reason === 'lapsed' ? 0 : this.#behavior.listingDelayMs()
    if (delayMs > 0) setTimeout(() => this.#list(run, reason), delayMs)
    else this.#list(run, reason)
    this.#gangs.leave(run)
  }

  #list ({ key, run, checkpoint }: SimulatedRun, reason: RunEndReason): void {
    const name = toTaskName(key)
    if (this.runs.get(name)?.run !== run) return
    this.runs.delete(name)
    this.#checker.recordEnd(name, run, this.entry.id, reason)
    this.#sequence += this.#behavior.sequenceStep()
    this.ended.push({ sequence: this.#sequence, key, run, reason, checkpoint })
    this.#ends.notifyAll()
  }
}

/**
 * Creates a ticket that workers accept for `validMs`.
 *
 * @param worker - The only incarnation that accepts it. Default: all do.
 */
export function createTicket (validMs: number, worker?: MemoryWorker): string {
  const validUntil = performance.now() + validMs
  return worker === undefined ? String(validUntil) : `${validUntil} ${worker.entry.startedAt}`
}
