import { throwUncaught } from '@gypsumspring/protocol'
import {
  computeLossTime, type GroupDefinition, type JournalRecord, type LeaseRight, type PlacementDecision
} from '@gypsumspring/core'
import { ADOPTION_MS, DECISIONS_PER_TURN, GROUP_RETRY_MS, SETTLE_MS, SWEEP_MS } from '../constants/index.ts'
import { Journal, type AppendResult } from '../journal/index.ts'
import { QuotaClaims } from '../quotaClaims/index.ts'
import type { Ownership } from '../../lease/index.ts'
import { AttemptDriver } from './AttemptDriver.ts'
import { GroupCatalog } from './GroupCatalog.ts'
import { GroupSettler } from './GroupSettler.ts'
import type { ShardConfiguration, ShardOwnerOptions, WorkerMachine } from './options.ts'
import { Submissions } from './Submissions.ts'
import { TaskTable } from './TaskTable.ts'
import type { Group, Task } from './types.ts'
import { WorkerSet } from './WorkerSet.ts'

export type * from './options.ts'

/**
 * Owns one shard from takeover to loss: brings the configuration into force, runs the rounds of decisions, and declares
 * the attempts of silent workers lost.
 */
export class ShardOwner {
  readonly #options: ShardOwnerOptions
  readonly #journal: Journal
  readonly #claims: QuotaClaims
  readonly #table = new TaskTable()
  readonly #submissions: Submissions
  readonly #settler: GroupSettler
  readonly #driver: AttemptDriver
  readonly #workers: WorkerSet
  readonly #catalog = new GroupCatalog()
  readonly #dirty = new Set<Group>()
  /** Times at which groups are to be settled again, in ms. */
  readonly #wakeAt = new Map<Group, number>()
  #configuration: ShardConfiguration | undefined
  /** The configuration is at least as new as the one that the journal follows from. */
  #configured = false
  /** The placer counts the attempts of previous owners. */
  #adopted = false
  #turnMs = 0
  #turnTimer: NodeJS.Timeout | undefined
  readonly #sweepTimer: NodeJS.Timeout
  #closed = false
  readonly #rightOfLease: () => LeaseRight

  constructor (options: ShardOwnerOptions) {
    this.#rightOfLease = options.right
    this.#options = { ...options, right: () => this.right() }
    const { record, settings, placer } = options
    this.#journal = new Journal({
      ...options,
      ...record,
      flushMs: settings.flushMs,
      configVersion: () => this.configVersion,
      mayWrite: () => this.right() === 'decide'
    })
    this.#claims = new QuotaClaims({
      ...this.#options, mayWrite: () => this.pauseReason === undefined, onChange: () => this.#schedule()
    })
    this.#submissions = new Submissions(placer)
    this.#driver = new AttemptDriver({
      ...this.#options,
      tasks: this.#table,
      workers: () => this.#workers,
      append: (records, then) => this.#append(records, then),
      isConfigured: () => this.#configured,
      onChange: (group) => this.#markDirty(group),
      onCapacity: () => this.#retryImpossible()
    })
    this.#settler = new GroupSettler({
      table: this.#table,
      submissions: this.#submissions,
      record: (group, entry, then) => this.#recordGroup(group, entry, then),
      claim: (group, definition) => this.#claim(group, definition),
      stop: (task, reason, checkpoint) => this.#driver.stop(task, reason, checkpoint)
    })
    const isIdle = (worker: string) => this.#table.isIdle(worker)
    this.#workers = new WorkerSet(this.#options, this.#driver, () => this.configVersion, isIdle)
    this.#table.restore(record.state, performance.now())
    this.#sweepTimer = setInterval(() => this.#sweep(), SWEEP_MS)
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

  /** Why nothing new starts in the shard; undefined while it decides. */
  get pauseReason (): string | undefined {
    if (this.right() !== 'decide' || this.#journal.failing) return 'store-unavailable'
    if (!this.#configured) return 'configuration-behind'
    return this.#adopted ? undefined : 'takeover'
  }

  right (): LeaseRight {
    return this.#closed ? 'none' : this.#rightOfLease()
  }

  explainPlacement (task: Task): string[] {
    return task.submission === undefined ? [] : this.#options.placer.explain(task.id, performance.now())
  }

  /** Brings a configuration into force, unless it is older than the one that the journal follows from. */
  configure (configuration: ShardConfiguration): void {
    const { placer, record } = this.#options
    if (configuration.version < Math.max(record.state.configVersion, this.configVersion)) return
    this.#configuration = configuration
    this.#configured = true
    placer.setQuotas(configuration.quotas)
    this.#claims.setQuotas(configuration.quotas)
    placer.setPackingWeight(configuration.packingWeight)
    const definitions = this.#catalog.read(configuration, (id) => this.#table.groups.has(id))
    for (const group of this.#table.groups.values()) {
      const definition = definitions.get(group.id)
      const isRetried = group.impossible !== undefined || group.hold === 'foreign'
      if (isRetried) group.retryAt = 0
      if (definition === group.definition && definition !== undefined && !isRetried) continue
      group.definition = definition
      group.wanted = new Set(definition?.tasks)
      this.#dirty.add(group)
    }
    for (const definition of definitions.values()) this.#considerHome(definition)
    this.#schedule()
  }

  setWorkers (machines: WorkerMachine[]): void {
    if (this.#workers.set(machines)) this.#retryImpossible()
  }

  close (): void {
    this.#closed = true
    clearTimeout(this.#turnTimer)
    clearInterval(this.#sweepTimer)
    this.#journal.close()
    this.#claims.close()
    this.#workers.close()
  }

  #considerHome (definition: GroupDefinition): void {
    const { id, team, kind, generation, tasks } = definition
    if (this.#table.groups.has(id) || definition.cancelled) return
    const submittedAt = performance.now()
    const group = this.#table.addGroup({ id, team, kind, generation, outcome: undefined, hold: 'unclaimed', submittedAt })
    group.definition = definition
    group.wanted = new Set(tasks)
    this.#dirty.add(group)
  }

  #claim (group: Group, { generation, team, kind }: GroupDefinition): void {
    group.hold = 'claiming'
    group.generation = generation
    const record: JournalRecord = { kind: 'claim', group: group.id, generation, team, workload: kind }
    this.#append([record], (result) => {
      group.hold = result === 'recorded' ? 'held' : 'foreign'
      group.retryAt = performance.now() + GROUP_RETRY_MS
      this.#markDirty(group)
    })
  }

  #recordGroup (group: Group, record: JournalRecord, then: () => void): void {
    group.closing = true
    this.#append([record], () => {
      group.closing = false
      this.#options.log.info({ ...record }, 'group closed')
      then()
      if (this.#table.groups.get(group.id) === group) this.#markDirty(group)
      // The group may have come back into the configuration meanwhile.
      else if (this.#configuration !== undefined) this.configure(this.#configuration)
    })
  }

  #append (records: JournalRecord[], then: (result: AppendResult) => void): void {
    this.#journal.append(records).then((result) => {
      if (!this.#closed) then(result)
    }).catch(throwUncaught)
  }

  #markDirty (group: Group): void {
    this.#dirty.add(group)
    this.#schedule()
  }

  #retryImpossible (): void {
    for (const group of this.#table.groups.values()) {
      if (group.impossible === undefined) continue
      group.retryAt = 0
      this.#markDirty(group)
    }
  }

  #schedule (delayMs: number = Math.max(SETTLE_MS, this.#turnMs)): void {
    if (this.#closed || this.#turnTimer !== undefined) return
    this.#turnTimer = setTimeout(() => {
      this.#turnTimer = undefined
      this.#turn()
    }, delayMs)
  }

  /** After a takeover: waits a little for the workers, so that the placer learns their own figures. */
  #adopt (): void {
    if (this.#adopted || !this.#configured) return
    const workers = this.#table.workersWithTasks
    const waited = performance.now() - this.ownership.ownedSince >= ADOPTION_MS
    if (!waited && !workers.every((worker) => this.#workers.hasAnswered(worker))) return
    for (const worker of workers) this.#workers.expect(worker)
    for (const group of this.#table.groups.values()) this.#dirty.add(group)
    this.#adopted = true
  }

  #turn (): void {
    this.#adopt()
    if (this.pauseReason !== undefined) return
    const now = performance.now()
    for (const group of this.#dirty) {
      this.#dirty.delete(group)
      const wakeAt = this.#settler.settle(group, now)
      if (wakeAt === Infinity) this.#wakeAt.delete(group)
      else this.#wakeAt.set(group, wakeAt)
    }
    const decidedAt = performance.now()
    const decisions = this.#options.placer.decide(now, DECISIONS_PER_TURN)
    this.#options.metrics.recordDuration('decision', performance.now() - decidedAt)
    for (const decision of decisions) this.#apply(decision)
    this.#claims.review()
    // Rounds take at most half of the time, whatever the size of the groups.
    this.#turnMs = performance.now() - now
    if (decisions.length === DECISIONS_PER_TURN) this.#schedule(this.#turnMs)
  }

  #apply (decision: PlacementDecision): void {
    this.#options.metrics.count('decisions', { kind: decision.kind })
    if (decision.kind === 'preempt') {
      for (const id of decision.victims) {
        const victim = this.#table.find(id)
        if (victim !== undefined) this.#driver.stop(victim, 'preempted', true)
      }
      return
    }
    const submission = this.#submissions.find(decision.group)
    if (submission === undefined) throw new Error(`placer: ${decision.kind} of unknown group ${decision.group}`)
    if (decision.kind === 'place') {
      this.#driver.place(submission, decision.placements)
      return
    }
    const { group } = submission
    this.#submissions.withdraw([submission])
    group.impossible = decision.reason
    group.retryAt = performance.now() + GROUP_RETRY_MS
    this.#wakeAt.set(group, group.retryAt)
    this.#options.log.info({ group: group.id, reason: decision.reason }, 'group can not be placed')
  }

  /** Declares attempts lost, drains leaving workers, and settles groups that are due. */
  #sweep (): void {
    const now = performance.now()
    const { settings } = this.#options
    for (const worker of this.#table.workersWithTasks) {
      const session = this.#workers.session(worker)
      const lost = session === undefined
        ? now >= computeLossTime({ ownedSince: this.ownership.ownedSince }, settings)
        : session.isLost(now)
      for (const task of lost ? this.#table.liveOn(worker) : []) {
        this.#driver.end({ task: task.id, attempt: task.attempt }, 'lost', 'worker lost')
      }
      if (this.#workers.isLeaving(worker)) this.#drain(worker)
    }
    this.#publish()
    for (const [group, wakeAt] of this.#wakeAt) if (wakeAt <= now) this.#dirty.add(group)
    this.#schedule()
  }

  #publish (): void {
    const { metrics, ownership: { shard } } = this.#options
    for (const [state, count] of this.#table.countByState()) metrics.set('tasks', count, { shard, state })
    metrics.set('shard_deciding', this.pauseReason === undefined ? 1 : 0, { shard })
  }

  /** Moves what can be moved off a leaving worker; other batch tasks may finish there. */
  #drain (worker: string): void {
    if (this.pauseReason !== undefined) return
    for (const task of this.#table.liveOn(worker)) {
      const preemptible = task.group.definition?.preemptible === true
      if (task.group.kind === 'service' || preemptible) this.#driver.stop(task, 'drained', preemptible)
    }
  }
}
