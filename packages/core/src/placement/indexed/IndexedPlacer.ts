import type { Resources } from '@gypsumspring/protocol'
import type { PlacementDecision, Placer, QuotaClaim, QuotaDemand, TaskGroup, WorkerNode } from '../../types.ts'
import { explainTask } from '../_lib/explainTask.ts'
import { addScaled } from '../_lib/resources.ts'
import {
  countStartingTasks, blocksTeam, renewReservation, fitsQuota, collectQuotaDemands
} from '../_lib/rules.ts'
import { RunTimeEstimator } from '../_lib/RunTimeEstimator.ts'
import { TaskRegistry } from '../_lib/TaskRegistry.ts'
import { WorkerHealth } from '../_lib/WorkerHealth.ts'
import { PRIORITY_CLASSES } from '../constants/index.ts'
import { findImpossibility } from '../findImpossibility/index.ts'
import type { GroupRecord, Reservation, TaskRecord } from '../types.ts'
import { CapacityShapes } from './CapacityShapes.ts'
import { GroupIndex } from './GroupIndex.ts'
import { planIndexedBackfill } from './planReservation.ts'
import { FairShareQueue } from './FairShareQueue.ts'
import { ReservationIndex } from './ReservationIndex.ts'
import { planStart, type PlacementContext } from './planStart.ts'
import { TeamUsage } from './TeamUsage.ts'
import { PROBING, WorkerTable, type WorkerEntry } from './WorkerTable.ts'

/** Placer for large cells. Indexes the workers by free capacity and updates all totals incrementally. */
export class IndexedPlacer implements Placer {
  readonly #registry = new TaskRegistry()
  readonly #health = new WorkerHealth()
  readonly #runTimes = new RunTimeEstimator()
  readonly #queue = new FairShareQueue()
  readonly #teams = new TeamUsage()
  /** Groups to be checked for impossibility. */
  readonly #unchecked = new Set<GroupRecord>()
  /** Set by a change of workers or quotas: every waiting group has to be checked again. */
  #recheckAll = false
  readonly #capacityShapes = new CapacityShapes()
  readonly #groups = new GroupIndex()
  readonly #context: PlacementContext
  #now = 0

  constructor () {
    const table = new WorkerTable()
    this.#context = {
      table,
      reservations: new ReservationIndex(table),
      packingWeight: 0.5,
      capacityVersion: 0,
      planVersion: 0
    }
  }

  addWorker (worker: WorkerNode): void {
    const { table } = this.#context
    if (table.entries.has(worker.id)) throw new Error(`worker ${worker.id} is already known`)
    this.#syncWorker(table.add(worker))
    this.#updateCapacity(worker, 1)
  }

  removeWorker (worker: string): void {
    const { table } = this.#context
    const entry = table.entries.get(worker)
    if (entry === undefined) return
    if (entry.tasks.size > 0) throw new Error(`worker ${worker} still has tasks`)
    for (const reservation of entry.reservations) this.#context.reservations.remove(reservation.group)
    table.remove(entry)
    this.#health.forgetWorker(worker)
    this.#updateCapacity(entry.node, -1)
  }

  setWorkerAvailable (worker: string, available: boolean): void {
    const entry = this.#context.table.entries.get(worker)
    if (entry === undefined) return
    entry.available = available
    this.#syncWorker(entry)
  }

  setQuotas (quotas: Map<string, Resources>): void {
    this.#teams.setQuotas(quotas)
    this.#recheckAll = true
  }

  setClaims (claims: Map<string, QuotaClaim> | undefined): void {
    this.#teams.setClaims(claims)
  }

  listQuotaDemands (): Map<string, QuotaDemand> {
    const { reservations } = this.#context
    const groups = this.#registry.groups.values()
    return collectQuotaDemands(this.#teams.usedByTeam(), groups, (group) => reservations.has(group))
  }

  setPackingWeight (weight: number): void {
    this.#context.packingWeight = Math.min(1, Math.max(0, weight))
  }

  submit (group: TaskGroup): void {
    const record = this.#registry.submit(group)
    this.#groups.add(record)
    this.#enqueue(record)
  }

  requeue (task: string, now: number): void {
    const record = this.#registry.tasks.get(task)
    if (record !== undefined && this.#registry.requeue(record, now)) this.#enqueue(record.group)
  }

  restore (task: string, worker: string): void {
    const record = this.#registry.tasks.get(task)
    const entry = this.#context.table.entries.get(worker)
    if (record === undefined) throw new Error(`task ${task} is not known`)
    if (entry === undefined) throw new Error(`worker ${worker} is not known`)
    if (record.worker === worker) return
    if (record.worker !== undefined) throw new Error(`task ${task} is already on worker ${record.worker}`)
    const startedAt = Math.max(this.#now, record.group.spec.submittedAt)
    this.#place(record, entry, startedAt, this.#runTimes.estimate(record.group.spec))
  }

  release (task: string): void {
    const record = this.#registry.tasks.get(task)
    if (record?.worker === undefined) return
    const entry = this.#context.table.entries.get(record.worker)!
    this.#health.recordEnd(record.worker, task)
    this.#updateTotals(record, entry, -1)
    this.#context.table.addMeasured(entry, record.usage ?? record.group.spec.resources, -1)
    if (this.#registry.release(record)) this.#enqueue(record.group)
    this.#syncWorker(entry)
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
    if (record?.worker === undefined) return
    const entry = this.#context.table.entries.get(record.worker)!
    const previous = record.usage ?? record.group.spec.resources
    this.#context.table.addMeasured(entry, addScaled(usage, previous, -1), 1)
    record.usage = usage
  }

  recordOutcome (task: string, worker: string, outcome: { succeeded: boolean, runMs: number }): void {
    const record = this.#registry.tasks.get(task)
    const { entries } = this.#context.table
    const entry = entries.get(worker)
    if (record === undefined || entry === undefined) return
    record.failedOn = outcome.succeeded ? undefined : worker
    this.#health.recordOutcome(worker, record.group.spec.id, outcome.succeeded, this.#now, entries.size)
    if (outcome.succeeded) this.#runTimes.record(record.group.spec, outcome.runMs)
    this.#syncWorker(entry)
  }

  decide (now: number, limit: number): PlacementDecision[] {
    this.#now = now
    const { table, reservations } = this.#context
    for (const worker of this.#health.refresh(now)) {
      const entry = table.entries.get(worker)
      if (entry !== undefined) this.#syncWorker(entry)
    }
    for (const stale of reservations.removeStale(now, (worker) => this.#canStart(worker))) this.#renew(stale, now)
    const decisions = this.#dropImpossible(limit)
    const blockedTeams = new Map<string, number>()
    for (let rank = 0; rank < PRIORITY_CLASSES.length && decisions.length < limit; rank++) {
      this.#queue.walk(rank, (team) => this.#teams.share(team), (group) => {
        const decision = this.#tryStart(group, now, blockedTeams)
        if (decision !== undefined) decisions.push(decision)
        return decisions.length >= limit ? undefined : decision?.kind === 'place'
      })
    }
    return decisions
  }

  explain (task: string, now: number): string[] {
    const record = this.#registry.tasks.get(task)
    const { table, reservations, packingWeight } = this.#context
    const team = record?.group.spec.team ?? ''
    return explainTask(task, record, {
      workers: table.entries.size,
      availableWorkers: [...table.entries.keys()].filter((worker) => this.#canStart(worker)).length,
      excludedWorkers: this.#health.excludedCount(),
      usedByTeam: this.#teams.used(team),
      quota: this.#teams.quota(team),
      claimed: this.#teams.limit(team)?.claimed,
      reservation: record && reservations.get(record.group),
      packingWeight
    }, now)
  }

  #tryStart (group: GroupRecord, now: number, blockedTeams: Map<string, number>): PlacementDecision | undefined {
    const { team, id } = group.spec
    const limit = this.#teams.limit(team)
    const blockedRank = blockedTeams.get(team)
    const isBlocked = blockedRank !== undefined && group.rank >= blockedRank
    if (isBlocked || !fitsQuota(group, this.#teams.used(team), limit?.claimed)) {
      const isBlocking = blocksTeam(group, this.#teams.usedByServices(team), limit?.maxClaim)
      if (!isBlocked && isBlocking) blockedTeams.set(team, group.rank)
      group.waitReason = 'quota'
      this.#unreserve(group)
      return undefined
    }
    const estimate = this.#runTimes.estimate(group.spec)
    const plan = planStart(this.#context, group, countStartingTasks(group), now, estimate)
    if (plan.kind === 'wait') {
      group.waitReason = plan.reason
      return undefined
    }
    if (plan.kind === 'preempt') {
      group.waitReason = 'capacity'
      return { kind: 'preempt', group: id, victims: plan.victims.map((task) => task.id) }
    }
    const waiting = [...take(group.waiting, plan.workers.length)]
    const placements = waiting.map((task, index) => ({ task: task.id, worker: plan.workers[index]!.node.id }))
    for (const [index, task] of waiting.entries()) this.#place(task, plan.workers[index]!, now, estimate)
    this.#unreserve(group)
    group.waitReason = undefined
    return { kind: 'place', group: id, placements }
  }

  #place (task: TaskRecord, entry: WorkerEntry, now: number, estimate: number | undefined): void {
    this.#registry.place(task, entry.node.id, now, estimate)
    this.#health.recordStart(entry.node.id, task.id)
    this.#updateTotals(task, entry, 1)
    this.#context.table.addMeasured(entry, task.group.spec.resources, 1)
    if (this.#health.isProbing(entry.node.id)) this.#syncWorker(entry)
  }

  /** Adds (1) or removes (-1) a placed task in all totals. */
  #updateTotals (task: TaskRecord, entry: WorkerEntry, change: 1 | -1): void {
    const { table } = this.#context
    const { spec, rank } = task.group
    if (change === 1) entry.tasks.add(task)
    else entry.tasks.delete(task)
    table.allocate(entry.slot, spec.resources, change)
    if (spec.preemptible && rank > 0) table.addPreemptible(entry.slot, spec.resources, change)
    this.#groups.adjustSpreadCount(task, entry, change)
    this.#teams.addTask(task.group, change)
  }

  #enqueue (group: GroupRecord): void {
    this.#queue.add(group)
    this.#unchecked.add(group)
  }

  #dropImpossible (limit: number): PlacementDecision[] {
    const decisions: PlacementDecision[] = []
    if (this.#recheckAll) {
      this.#recheckAll = false
      for (const group of this.#registry.groups.values()) if (group.waiting.size > 0) this.#unchecked.add(group)
    }
    if (this.#unchecked.size === 0 || this.#capacityShapes.isEmpty) return decisions
    for (const group of [...this.#unchecked].sort((a, b) => a.sequence - b.sequence)) {
      if (decisions.length >= limit) break
      this.#unchecked.delete(group)
      if (group.waiting.size === 0) continue
      const shapes = this.#capacityShapes.list(group.spec.failureDomains)
      const reason = findImpossibility(group.spec, shapes, this.#teams.quota(group.spec.team))
      if (reason === undefined) continue
      this.#unreserve(group)
      this.#registry.drop(group)
      if (group.cancelled) this.#forget(group)
      decisions.push({ kind: 'impossible', group: group.spec.id, reason })
    }
    return decisions
  }

  #updateCapacity (worker: WorkerNode, change: 1 | -1): void {
    this.#capacityShapes.adjust(worker, change)
    this.#teams.addCapacity(worker.capacity, change)
    this.#recheckAll = true
  }

  #forget (group: GroupRecord): void {
    this.#runTimes.forget(group.spec.id)
    this.#health.forgetGroup(group.spec.id)
    this.#unreserve(group)
    this.#unchecked.delete(group)
    this.#groups.remove(group)
  }

  /** Replans a stale reservation before another group can take the capacity that it has kept free. */
  #renew (stale: Reservation, now: number): void {
    const { table, reservations } = this.#context
    this.#context.planVersion++
    if (stale.kind !== 'backfill') return
    const plan = planIndexedBackfill(table, stale.group, countStartingTasks(stale.group), now)
    if (plan !== undefined) reservations.add(renewReservation(plan, stale))
  }

  #unreserve (group: GroupRecord): void {
    if (this.#context.reservations.remove(group)) this.#context.planVersion++
  }

  /** Updates the index after a worker may have gained capacity or changed whether it may start tasks. */
  #syncWorker (entry: WorkerEntry): void {
    const { table } = this.#context
    table.setFlag(entry.slot, PROBING, this.#health.isProbing(entry.node.id))
    table.setIndexed(entry.slot, this.#canStart(entry.node.id))
    this.#context.capacityVersion++
    this.#context.planVersion++
  }

  #canStart (worker: string): boolean {
    return this.#context.table.entries.get(worker)?.available === true && this.#health.canStart(worker)
  }
}

function * take<T> (values: Iterable<T>, count: number): Generator<T> {
  for (const value of values) {
    if (count-- <= 0) return
    yield value
  }
}
