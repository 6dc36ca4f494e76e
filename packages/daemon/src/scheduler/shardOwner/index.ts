import { throwUncaught } from '@gypsumspring/protocol'
import {
  computeLossTime, type GroupDefinition, type JournalRecord, type LeaseRight, type PlacementDecision
} from '@gypsumspring/core'
import {
  GROUP_RETRY_DELAY_MS, MAX_DECISIONS_PER_ROUND, ROUND_DELAY_MS, SWEEP_INTERVAL_MS, TAKEOVER_WAIT_MS
} from '../constants/index.ts'
import { Journal, type AppendResult } from '../journal/index.ts'
import { QuotaClaims } from '../quotaClaims/index.ts'
import type { Ownership } from '../../lease/index.ts'
import { AttemptController } from './AttemptController.ts'
import { GroupCatalog } from './GroupCatalog.ts'
import { GroupReconciler } from './GroupReconciler.ts'
import type { ShardConfiguration, ShardOwnerOptions, WorkerMachine } from './options.ts'
import { Submissions } from './Submissions.ts'
import { TaskTable } from './TaskTable.ts'
import type { Group, Task } from './types.ts'
import { WorkerSet } from './WorkerSet.ts'

export type * from './options.ts'

/**
 * Schedules one shard from its takeover until it is lost: applies the configuration, runs rounds of placement
 * decisions, and declares the attempts on lost workers lost.
 */
export class ShardOwner {
  readonly #options: ShardOwnerOptions
  readonly #journal: Journal
  readonly #claims: QuotaClaims
  readonly #table = new TaskTable()
  readonly #submissions: Submissions
  readonly #reconciler: GroupReconciler
  readonly #attempts: AttemptController
  readonly #workers: WorkerSet
  readonly #catalog = new GroupCatalog()
  /** Groups to reconcile in the next round. */
  readonly #changedGroups = new Set<Group>()
  /** Times at which groups have to be reconciled again without a change, in ms. */
  readonly #reconcileAt = new Map<Group, number>()
  #configuration: ShardConfiguration | undefined
  /** The configuration is at least as new as the one that the last journal row was based on. */
  #configurationCurrent = false
  /** The placer knows the workers with attempts of previous owners, so decisions may be taken. */
  #takeoverCompleted = false
  /** Duration of the last round. */
  #roundMs = 0
  #roundTimer: NodeJS.Timeout | undefined
  readonly #sweepTimer: NodeJS.Timeout
  #closed = false
  readonly #leaseRight: () => LeaseRight

  constructor (options: ShardOwnerOptions) {
    this.#leaseRight = options.right
    this.#options = { ...options, right: () => this.right() }
    const { recovered, settings, placer } = options
    this.#journal = new Journal({
      ...options,
      ...recovered,
      flushMs: settings.flushMs,
      configVersion: () => this.configVersion,
      mayWrite: () => this.right() === 'decide'
    })
    this.#claims = new QuotaClaims({
      ...this.#options, mayWrite: () => this.pauseReason === undefined, onChange: () => this.#schedule()
    })
    this.#submissions = new Submissions(placer)
    this.#attempts = new AttemptController({
      ...this.#options,
      tasks: this.#table,
      workers: () => this.#workers,
      append: (records, then) => this.#append(records, then),
      isConfigurationCurrent: () => this.#configurationCurrent,
      onChange: (group) => this.#markChanged(group),
      onWorkerReady: () => this.#retryUnplaceable()
    })
    this.#reconciler = new GroupReconciler({
      table: this.#table,
      submissions: this.#submissions,
      record: (group, record, then) => this.#recordGroup(group, record, then),
      claim: (group, definition) => this.#claim(group, definition),
      stop: (task, reason, checkpoint) => this.#attempts.stop(task, reason, checkpoint)
    })
    const isIdle = (worker: string) => this.#table.isIdle(worker)
    this.#workers = new WorkerSet(this.#options, this.#attempts, () => this.configVersion, isIdle)
    this.#table.restore(recovered.state, performance.now())
    this.#sweepTimer = setInterval(() => this.#sweep(), SWEEP_INTERVAL_MS)
  }

  get table (): TaskTable {
    return this.#table
  }

  get workers (): WorkerSet {
    return this.#workers
  }

  get ownership (): Ownership {
    return this.#options.ownership
  }

  get configVersion (): number {
    return this.#configuration?.version ?? 0
  }

  /** Why no tasks start in the shard; undefined while it takes decisions. */
  get pauseReason (): string | undefined {
    if (this.right() !== 'decide' || this.#journal.failing) return 'store-unavailable'
    if (!this.#configurationCurrent) return 'configuration-behind'
    return this.#takeoverCompleted ? undefined : 'takeover'
  }

  right (): LeaseRight {
    return this.#closed ? 'none' : this.#leaseRight()
  }

  explainPlacement (task: Task): string[] {
    return task.submission === undefined ? [] : this.#options.placer.explain(task.id, performance.now())
  }

  /** Applies a configuration, unless it is older than the current one or the one that the journal is based on. */
  configure (configuration: ShardConfiguration): void {
    const { placer, recovered } = this.#options
    if (configuration.version < Math.max(recovered.state.configVersion, this.configVersion)) return
    this.#configuration = configuration
    this.#configurationCurrent = true
    placer.setQuotas(configuration.quotas)
    this.#claims.setQuotas(configuration.quotas)
    placer.setPackingWeight(configuration.packingWeight)
    const definitions = this.#catalog.update(configuration, (id) => this.#table.groups.has(id))
    for (const group of this.#table.groups.values()) {
      const definition = definitions.get(group.id)
      const isRetried = group.unplaceableReason !== undefined || group.claimState === 'foreign'
      if (isRetried) group.retryAt = 0
      if (definition === group.definition && definition !== undefined && !isRetried) continue
      group.definition = definition
      group.desiredTasks = new Set(definition?.tasks)
      this.#changedGroups.add(group)
    }
    for (const definition of definitions.values()) this.#addHomeGroup(definition)
    this.#schedule()
  }

  setWorkers (machines: WorkerMachine[]): void {
    if (this.#workers.setMachines(machines)) this.#retryUnplaceable()
  }

  close (): void {
    this.#closed = true
    clearTimeout(this.#roundTimer)
    clearInterval(this.#sweepTimer)
    this.#journal.close()
    this.#claims.close()
    this.#workers.close()
  }

  #addHomeGroup (definition: GroupDefinition): void {
    const { id, team, kind, generation, tasks } = definition
    if (this.#table.groups.has(id) || definition.cancelled) return
    const submittedAt = performance.now()
    const group = this.#table.addGroup({
      id, team, kind, generation, outcome: undefined, claimState: 'unclaimed', submittedAt
    })
    group.definition = definition
    group.desiredTasks = new Set(tasks)
    this.#changedGroups.add(group)
  }

  #claim (group: Group, { generation, team, kind }: GroupDefinition): void {
    group.claimState = 'claiming'
    group.generation = generation
    const record: JournalRecord = { kind: 'claim', group: group.id, generation, team, workload: kind }
    this.#append([record], (result) => {
      group.claimState = result === 'recorded' ? 'held' : 'foreign'
      group.retryAt = performance.now() + GROUP_RETRY_DELAY_MS
      this.#markChanged(group)
    })
  }

  #recordGroup (group: Group, record: JournalRecord, then: () => void): void {
    group.recordPending = true
    this.#append([record], () => {
      group.recordPending = false
      this.#options.log.info({ ...record }, 'group closed')
      then()
      if (this.#table.groups.get(group.id) === group) this.#markChanged(group)
      // The group may have been added to the configuration again in the meantime.
      else if (this.#configuration !== undefined) this.configure(this.#configuration)
    })
  }

  #append (records: JournalRecord[], then: (result: AppendResult) => void): void {
    this.#journal.append(records).then((result) => {
      if (!this.#closed) then(result)
    }).catch(throwUncaught)
  }

  #markChanged (group: Group): void {
    this.#changedGroups.add(group)
    this.#schedule()
  }

  #retryUnplaceable (): void {
    for (const group of this.#table.groups.values()) {
      if (group.unplaceableReason === undefined) continue
      group.retryAt = 0
      this.#markChanged(group)
    }
  }

  #schedule (delayMs: number = Math.max(ROUND_DELAY_MS, this.#roundMs)): void {
    if (this.#closed || this.#roundTimer !== undefined) return
    this.#roundTimer = setTimeout(() => {
      this.#roundTimer = undefined
      this.#runRound()
    }, delayMs)
  }

  /**
   * Completes a takeover as soon as all workers with tasks have reported their capacity, or after `TAKEOVER_WAIT_MS`.
   * The wait lets the placer use the reported capacity instead of the one in the inventory.
   */
  #tryCompleteTakeover (): void {
    if (this.#takeoverCompleted || !this.#configurationCurrent) return
    const workers = this.#table.workersWithTasks
    const timedOut = performance.now() - this.ownership.ownedSince >= TAKEOVER_WAIT_MS
    if (!timedOut && !workers.every((worker) => this.#workers.hasReportedCapacity(worker))) return
    for (const worker of workers) this.#workers.addUnconfirmed(worker)
    for (const group of this.#table.groups.values()) this.#changedGroups.add(group)
    this.#takeoverCompleted = true
  }

  #runRound (): void {
    this.#tryCompleteTakeover()
    if (this.pauseReason !== undefined) return
    const now = performance.now()
    for (const group of this.#changedGroups) {
      this.#changedGroups.delete(group)
      const dueAt = this.#reconciler.reconcile(group, now)
      if (dueAt === Infinity) this.#reconcileAt.delete(group)
      else this.#reconcileAt.set(group, dueAt)
    }
    const decidedAt = performance.now()
    const decisions = this.#options.placer.decide(now, MAX_DECISIONS_PER_ROUND)
    this.#options.metrics.recordDuration('decision', performance.now() - decidedAt)
    for (const decision of decisions) this.#apply(decision)
    this.#claims.update()
    // Waiting as long as the last round took leaves at least half of the time to other work of the process.
    this.#roundMs = performance.now() - now
    if (decisions.length === MAX_DECISIONS_PER_ROUND) this.#schedule(this.#roundMs)
  }

  #apply (decision: PlacementDecision): void {
    this.#options.metrics.count('decisions', { kind: decision.kind })
    if (decision.kind === 'preempt') {
      for (const id of decision.victims) {
        const victim = this.#table.find(id)
        if (victim !== undefined) this.#attempts.stop(victim, 'preempted', true)
      }
      return
    }
    const submission = this.#submissions.find(decision.group)
    if (submission === undefined) {
      throw new Error(`placer: decision ${decision.kind} for unknown group ${decision.group}`)
    }
    if (decision.kind === 'place') {
      this.#attempts.place(submission, decision.placements)
      return
    }
    const { group } = submission
    this.#submissions.withdraw([submission])
    group.unplaceableReason = decision.reason
    group.retryAt = performance.now() + GROUP_RETRY_DELAY_MS
    this.#reconcileAt.set(group, group.retryAt)
    this.#options.log.info({ group: group.id, reason: decision.reason }, 'group cannot be placed')
  }

  /** Declares attempts on lost workers lost, drains leaving workers, and schedules groups that are due. */
  #sweep (): void {
    const now = performance.now()
    const { settings } = this.#options
    for (const worker of this.#table.workersWithTasks) {
      const session = this.#workers.session(worker)
      const lost = session === undefined
        ? now >= computeLossTime({ ownedSince: this.ownership.ownedSince }, settings)
        : session.isLost(now)
      for (const task of lost ? this.#table.listLiveTasks(worker) : []) {
        this.#attempts.end({ task: task.id, attempt: task.attempt }, 'lost', 'worker lost')
      }
      if (this.#workers.isLeaving(worker)) this.#drain(worker)
    }
    this.#publishMetrics()
    for (const [group, dueAt] of this.#reconcileAt) if (dueAt <= now) this.#changedGroups.add(group)
    this.#schedule()
  }

  #publishMetrics (): void {
    const { metrics, ownership: { shard } } = this.#options
    for (const [state, count] of this.#table.countByState()) metrics.set('tasks', count, { shard, state })
    metrics.set('shard_deciding', this.pauseReason === undefined ? 1 : 0, { shard })
  }

  /** Stops services and preemptible tasks on a leaving worker, so that they move; other tasks may finish there. */
  #drain (worker: string): void {
    if (this.pauseReason !== undefined) return
    for (const task of this.#table.listLiveTasks(worker)) {
      const preemptible = task.group.definition?.preemptible === true
      if (task.group.kind === 'service' || preemptible) this.#attempts.stop(task, 'drained', preemptible)
    }
  }
}
