import type { Resources } from '@gypsumspring/protocol'
import type { PlacementDecision, Placer, QuotaClaim, QuotaDemand, TaskGroup, WorkerNode } from '../../types.ts'
import { explainTask } from '../_lib/explainTask.ts'
import { addScaled, computeDominantShare, ZERO_RESOURCES } from '../_lib/resources.ts'
import {
  appliesToGroup, compareQueueOrder, computeIdleDelayMs, countStartingTasks, blocksTeam, isOverdue, resolveQuotaClaim,
  mayReplaceBackfill, renewReservation, fitsQuota, collectQuotaDemands
} from '../_lib/rules.ts'
import { RunTimeEstimator } from '../_lib/RunTimeEstimator.ts'
import { TaskRegistry } from '../_lib/TaskRegistry.ts'
import { WorkerHealth } from '../_lib/WorkerHealth.ts'
import { findImpossibility } from '../findImpossibility/index.ts'
import type { GroupRecord, Reservation, TaskRecord } from '../types.ts'
import { planBackfill } from './planBackfill.ts'
import { planPreemption } from './planPreemption.ts'
import { searchWorkers } from './searchWorkers.ts'
import type { Assignment, CellView, WorkerView } from './types.ts'

/**
 * Reference implementation without indexes: every decision recomputes capacity, quota use and queue order from the
 * tasks. Differential tests and benchmarks compare the indexed placer with it.
 */
export class NaivePlacer implements Placer {
  readonly #workers = new Map<string, WorkerNode & { available: boolean }>()
  readonly #registry = new TaskRegistry()
  readonly #health = new WorkerHealth()
  readonly #runTimes = new RunTimeEstimator()
  /** Groups that were found possible with the current workers and quotas. */
  readonly #checked = new Set<GroupRecord>()
  #reservations: Reservation[] = []
  #quotas = new Map<string, Resources>()
  #claims: Map<string, QuotaClaim> | undefined
  #packingWeight = 0.5
  #now = 0

  addWorker (worker: WorkerNode): void {
    if (this.#workers.has(worker.id)) throw new Error(`worker ${worker.id} is already known`)
    this.#workers.set(worker.id, { ...worker, available: true })
    this.#checked.clear()
  }

  removeWorker (worker: string): void {
    if (this.#placedTasks().some((task) => task.worker === worker)) throw new Error(`worker ${worker} still has tasks`)
    this.#reservations = this.#reservations.filter((reservation) => !reservation.tasks.has(worker))
    this.#workers.delete(worker)
    this.#health.forgetWorker(worker)
    this.#checked.clear()
  }

  setWorkerAvailable (worker: string, available: boolean): void {
    const known = this.#workers.get(worker)
    if (known !== undefined) known.available = available
  }

  setQuotas (quotas: Map<string, Resources>): void {
    this.#quotas = new Map(quotas)
    this.#checked.clear()
  }

  setClaims (claims: Map<string, QuotaClaim> | undefined): void {
    this.#claims = claims && new Map(claims)
  }

  listQuotaDemands (): Map<string, QuotaDemand> {
    const teams = new Set(Array.from(this.#registry.tasks.values(), (task) => task.group.spec.team))
    const used = Array.from(teams, (team): [string, Resources] => [team, this.#sumUsage(team, () => true)])
    const reserved = new Set(this.#reservations.map(({ group }) => group))
    return collectQuotaDemands(used, this.#registry.groups.values(), (group) => reserved.has(group))
  }

  setPackingWeight (weight: number): void {
    this.#packingWeight = Math.min(1, Math.max(0, weight))
  }

  submit (group: TaskGroup): void {
    this.#registry.submit(group)
  }

  requeue (task: string, now: number): void {
    const record = this.#registry.tasks.get(task)
    if (record !== undefined && this.#registry.requeue(record, now)) this.#checked.delete(record.group)
  }

  restore (task: string, worker: string): void {
    const record = this.#registry.tasks.get(task)
    if (record === undefined) throw new Error(`task ${task} is not known`)
    if (!this.#workers.has(worker)) throw new Error(`worker ${worker} is not known`)
    if (record.worker === worker) return
    if (record.worker !== undefined) throw new Error(`task ${task} is already on worker ${record.worker}`)
    const startedAt = Math.max(this.#now, record.group.spec.submittedAt)
    this.#registry.place(record, worker, startedAt, this.#runTimes.estimate(record.group.spec))
    this.#health.recordStart(worker, task)
  }

  release (task: string): void {
    const record = this.#registry.tasks.get(task)
    if (record?.worker === undefined) return
    this.#health.recordEnd(record.worker, task)
    if (this.#registry.release(record)) this.#checked.delete(record.group)
  }

  withdraw (task: string): void {
    const record = this.#registry.tasks.get(task)
    if (record !== undefined && this.#registry.withdraw(record)) this.cancel(record.group.spec.id)
  }

  cancel (group: string): string[] {
    const record = this.#registry.groups.get(group)
    if (record === undefined) return []
    this.#forget(record)
    return this.#registry.cancel(record).map((task) => task.id)
  }

  recordUsage (task: string, usage: Resources): void {
    const record = this.#registry.tasks.get(task)
    if (record?.worker !== undefined) record.usage = usage
  }

  recordOutcome (task: string, worker: string, outcome: { succeeded: boolean, runMs: number }): void {
    const record = this.#registry.tasks.get(task)
    if (record === undefined || !this.#workers.has(worker)) return
    record.failedOn = outcome.succeeded ? undefined : worker
    this.#health.recordOutcome(worker, record.group.spec.id, outcome.succeeded, this.#now, this.#workers.size)
    if (outcome.succeeded) this.#runTimes.record(record.group.spec, outcome.runMs)
  }

  decide (now: number, limit: number): PlacementDecision[] {
    this.#now = now
    this.#health.refresh(now)
    const isStale = (reservation: Reservation): boolean =>
      isOverdue(reservation, now) || ![...reservation.tasks.keys()].every((worker) => this.#canStart(worker))
    const stale = this.#reservations.filter(isStale)
    this.#reservations = this.#reservations.filter((reservation) => !stale.includes(reservation))
    for (const reservation of stale) this.#renew(reservation, now)
    const decisions = this.#dropImpossible(limit)
    const tried = new Set<GroupRecord>()
    const blockedTeams = new Map<string, number>()
    while (decisions.length < limit) {
      const group = this.#nextGroup(tried)
      if (group === undefined) break
      const blockedRank = blockedTeams.get(group.spec.team)
      const isBlocked = blockedRank !== undefined && group.rank >= blockedRank
      const decision = isBlocked ? this.#waitForQuota(group) : this.#tryStart(group, now, blockedTeams)
      if (decision?.kind === 'place') decisions.push(decision)
      else tried.add(group)
      if (decision?.kind === 'preempt') decisions.push(decision)
    }
    return decisions
  }

  explain (task: string, now: number): string[] {
    const record = this.#registry.tasks.get(task)
    const team = record?.group.spec.team ?? ''
    return explainTask(task, record, {
      workers: this.#workers.size,
      availableWorkers: [...this.#workers.keys()].filter((worker) => this.#canStart(worker)).length,
      excludedWorkers: this.#health.excludedCount(),
      usedByTeam: this.#sumUsage(team, () => true),
      quota: this.#quotas.get(team),
      claimed: resolveQuotaClaim(team, this.#quotas.get(team), this.#claims)?.claimed,
      reservation: this.#reservations.find((reservation) => reservation.group === record?.group),
      packingWeight: this.#packingWeight
    }, now)
  }

  #tryStart (group: GroupRecord, now: number, blockedTeams: Map<string, number>): PlacementDecision | undefined {
    const { team, id } = group.spec
    const limit = resolveQuotaClaim(team, this.#quotas.get(team), this.#claims)
    if (!fitsQuota(group, this.#sumUsage(team, () => true), limit?.claimed)) {
      const usedByServices = this.#sumUsage(team, (task) => task.group.spec.kind === 'service')
      if (blocksTeam(group, usedByServices, limit?.maxClaim)) blockedTeams.set(team, group.rank)
      return this.#waitForQuota(group)
    }
    if (this.#workers.size === 0) {
      group.waitReason = 'no-workers'
      return undefined
    }
    const estimate = this.#runTimes.estimate(group.spec)
    const [first] = group.waiting
    const inUse = this.#placedTasks().length > 0
    const mayUseIdle = !inUse || now - first!.queuedAt >= computeIdleDelayMs(group, this.#packingWeight, estimate)
    const assignments = searchWorkers(this.#buildView(group, now, estimate), group, countStartingTasks(group), true)
    if (assignments !== undefined) {
      const chosen = mayUseIdle
        ? assignments
        : searchWorkers(this.#buildView(group, now, estimate), group, countStartingTasks(group), false)
      if (chosen === undefined) {
        group.waitReason = 'packing-delay'
        return undefined
      }
      return this.#place(group, chosen, now, estimate)
    }
    group.waitReason = 'capacity'
    const own = this.#reservations.find((reservation) => reservation.group === group)
    if (own !== undefined && (group.rank > 0 || own.kind === 'preemption')) return undefined
    const view = this.#buildView(group, now, undefined)
    const plan = group.rank === 0 ? planPreemption(view, group, countStartingTasks(group), now) : undefined
    if (plan !== undefined) {
      this.#unreserve(group)
      this.#reservations.push(plan.reservation)
      for (const victim of plan.victims) victim.stoppingSince = now
      return plan.victims.length > 0 ? { kind: 'preempt', group: id, victims: plan.victims.map((task) => task.id) } : undefined
    }
    const isBackfill = ({ kind, group: { rank } }: Reservation): boolean => kind === 'backfill' && rank === group.rank
    const classBackfill = this.#reservations.find(isBackfill)
    if (!mayReplaceBackfill(group, classBackfill)) return undefined
    const backfill = planBackfill(view, group, countStartingTasks(group), now)
    if (backfill === undefined) return undefined
    if (classBackfill !== undefined) this.#unreserve(classBackfill.group)
    this.#reservations.push(backfill)
    return undefined
  }

  #place (group: GroupRecord, assignments: Assignment[], now: number, estimate: number | undefined): PlacementDecision {
    const waiting = [...group.waiting]
    const placements = assignments.map(({ worker }, index) => ({ task: waiting[index]!.id, worker }))
    for (const [index, { worker }] of assignments.entries()) {
      this.#registry.place(waiting[index]!, worker, now, estimate)
      this.#health.recordStart(worker, waiting[index]!.id)
    }
    this.#unreserve(group)
    group.waitReason = undefined
    return { kind: 'place', group: group.spec.id, placements }
  }

  #waitForQuota (group: GroupRecord): undefined {
    group.waitReason = 'quota'
    this.#unreserve(group)
  }

  #dropImpossible (limit: number): PlacementDecision[] {
    const decisions: PlacementDecision[] = []
    const shapes = Array.from(this.#workers.values(), (worker) => ({ ...worker, count: 1 }))
    if (shapes.length === 0) return decisions
    for (const group of this.#registry.groups.values()) {
      if (decisions.length >= limit) break
      if (group.waiting.size === 0 || this.#checked.has(group)) continue
      const reason = findImpossibility(group.spec, shapes, this.#quotas.get(group.spec.team))
      if (reason === undefined) {
        this.#checked.add(group)
        continue
      }
      this.#unreserve(group)
      this.#registry.drop(group)
      if (group.cancelled) this.#forget(group)
      decisions.push({ kind: 'impossible', group: group.spec.id, reason })
    }
    return decisions
  }

  #nextGroup (tried: Set<GroupRecord>): GroupRecord | undefined {
    const capacities = Array.from(this.#workers.values(), (worker) => worker.capacity)
    const total = capacities.reduce((sum, capacity) => addScaled(sum, capacity, 1), ZERO_RESOURCES)
    const shares = new Map<string, number>()
    const shareOf = (team: string): number => {
      const limit = this.#quotas.get(team) ?? total
      const share = shares.get(team) ?? computeDominantShare(this.#sumUsage(team, () => true), limit)
      shares.set(team, share)
      return share
    }
    return [...this.#registry.groups.values()]
      .filter((group) => group.waiting.size > 0 && !tried.has(group))
      .sort((a, b) => a.rank - b.rank || compareQueueOrder(a, shareOf(a.spec.team), b, shareOf(b.spec.team)))[0]
  }

  #buildView (group: GroupRecord, now: number, estimate: number | undefined): CellView {
    const applicable = this.#reservations.filter((reservation) => appliesToGroup(reservation, group, now, estimate))
    const placed = new Map<string, TaskRecord[]>()
    for (const task of this.#placedTasks()) placed.set(task.worker!, [...placed.get(task.worker!) ?? [], task])
    const workers = [...this.#workers.values()]
      .filter((worker) => this.#canStart(worker.id))
      .map((worker): WorkerView => {
        const tasks = placed.get(worker.id) ?? []
        return {
          node: worker,
          tasks,
          isProbing: this.#health.isProbing(worker.id),
          free: tasks.reduce((sum, task) => addScaled(sum, task.group.spec.resources, -1), worker.capacity),
          reserved: applicable.reduce((sum, { group: { spec }, tasks }) =>
            addScaled(sum, spec.resources, tasks.get(worker.id) ?? 0), ZERO_RESOURCES),
          measured: tasks.reduce((sum, { usage, group: { spec } }) =>
            addScaled(sum, usage ?? spec.resources, 1), ZERO_RESOURCES)
        }
      })
    return { workers, nodes: this.#workers, packingWeight: this.#packingWeight }
  }

  #placedTasks (): TaskRecord[] {
    return [...this.#registry.tasks.values()].filter((task) => task.worker !== undefined)
  }

  #sumUsage (team: string, includes: (task: TaskRecord) => boolean): Resources {
    return this.#placedTasks()
      .filter((task) => task.group.spec.team === team && includes(task))
      .reduce((sum, task) => addScaled(sum, task.group.spec.resources, 1), ZERO_RESOURCES)
  }

  #canStart (worker: string): boolean {
    return this.#workers.get(worker)?.available === true && this.#health.canStart(worker)
  }

  #forget (group: GroupRecord): void {
    this.#runTimes.forget(group.spec.id)
    this.#health.forgetGroup(group.spec.id)
    this.#unreserve(group)
  }

  /** Replans a stale reservation before another group can take the capacity that it has kept free. */
  #renew (stale: Reservation, now: number): void {
    const { group, kind } = stale
    if (kind !== 'backfill') return
    const plan = planBackfill(this.#buildView(group, now, undefined), group, countStartingTasks(group), now)
    if (plan !== undefined) this.#reservations.push(renewReservation(plan, stale))
  }

  #unreserve (group: GroupRecord): void {
    this.#reservations = this.#reservations.filter((reservation) => reservation.group !== group)
  }
}
