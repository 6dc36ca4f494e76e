import { Left, Right, type Either } from 'purify-ts/Either'
import type { JournalRecord, JournalRow, RecordedGroup, RecordedTask, ShardSnapshot } from '../recordTypes.ts'

const EMPTY: ShardSnapshot = { sequence: 0, lastAttempt: 0, configVersion: 0, groups: [], tasks: [] }

/** State of a shard as recorded in its journal. Changes only by applying journal rows in order. */
export class RecordedState {
  #sequence: number
  #lastAttempt: number
  #configVersion: number
  readonly #groups: Map<string, RecordedGroup>
  readonly #tasks: Map<string, RecordedTask>
  readonly #tasksOfGroup = new Map<string, Set<string>>()

  constructor (snapshot: ShardSnapshot = EMPTY) {
    const { sequence, lastAttempt, configVersion, groups, tasks } = structuredClone(snapshot)
    this.#sequence = sequence
    this.#lastAttempt = lastAttempt
    this.#configVersion = configVersion
    this.#groups = new Map(groups)
    this.#tasks = new Map(tasks)
    for (const [task, { group }] of tasks) this.#index(task, group)
  }

  /** Sequence number of the last applied row; 0 if there is none. */
  get sequence (): number {
    return this.#sequence
  }

  /** Highest attempt number used so far in the shard. */
  get lastAttempt (): number {
    return this.#lastAttempt
  }

  /** Highest configuration version of any applied row. */
  get configVersion (): number {
    return this.#configVersion
  }

  get groups (): ReadonlyMap<string, Readonly<RecordedGroup>> {
    return this.#groups
  }

  get tasks (): ReadonlyMap<string, Readonly<RecordedTask>> {
    return this.#tasks
  }

  /**
   * Applies a journal row.
   *
   * @param row - The next row; a row that was already applied is ignored.
   * @returns Nothing, or why the row can't be applied: a gap in the sequence, or a record that violates an invariant.
   * After an invariant violation the state must not be used.
   */
  apply (row: Pick<JournalRow, 'sequence' | 'configVersion' | 'records'>): Either<string, void> {
    if (row.sequence <= this.#sequence) return Right(undefined)
    if (row.sequence !== this.#sequence + 1) return Left(`row ${row.sequence} follows row ${this.#sequence}`)
    for (const record of row.records) {
      const violation = this.#applyRecord(record)
      if (violation !== undefined) return Left(`row ${row.sequence}: ${violation}`)
    }
    this.#sequence = row.sequence
    this.#configVersion = Math.max(this.#configVersion, row.configVersion)
    return Right(undefined)
  }

  toSnapshot (): ShardSnapshot {
    return structuredClone({
      sequence: this.#sequence,
      lastAttempt: this.#lastAttempt,
      configVersion: this.#configVersion,
      groups: [...this.#groups],
      tasks: [...this.#tasks]
    })
  }

  #applyRecord (record: JournalRecord): string | undefined {
    switch (record.kind) {
      case 'claim':
        this.#groups.set(record.group, { generation: record.generation, team: record.team, kind: record.workload })
        return undefined
      case 'intent': return this.#applyIntent(record)
      case 'end': return this.#applyEnd(record)
      default: return this.#applyToGroup(record)
    }
  }

  #applyIntent (record: JournalRecord & { kind: 'intent' }): string | undefined {
    const { task, group, attempt, worker, resources, revision } = record
    const known = this.#tasks.get(task)
    if (known !== undefined && known.result === undefined) return `task ${task} has a live attempt ${known.attempt}`
    if (!this.#groups.has(group)) return `intent for ${task} of a group that is not claimed`
    if (attempt <= this.#lastAttempt) return `attempt ${attempt} of ${task} is not above ${this.#lastAttempt}`
    this.#lastAttempt = attempt
    this.#tasks.set(task, { group, attempt, worker, resources, revision, failures: known?.failures ?? 0 })
    this.#index(task, group)
    return undefined
  }

  #applyEnd ({ task, attempt, result, failure }: JournalRecord & { kind: 'end' }): string | undefined {
    const known = this.#tasks.get(task)
    if (known === undefined || known.attempt !== attempt || known.result !== undefined) {
      return `end of attempt ${attempt} of ${task}, which is not live`
    }
    this.#tasks.set(task, { ...known, result, failures: known.failures + (failure ? 1 : 0) })
    return undefined
  }

  #applyToGroup (record: JournalRecord & { kind: 'restart' | 'finish' | 'release' }): string | undefined {
    const group = this.#groups.get(record.group)
    if (group === undefined) return `${record.kind} of group ${record.group}, which is not claimed`
    const tasks = this.#tasksOfGroup.get(record.group) ?? []
    for (const task of tasks) {
      if (this.#tasks.get(task)?.result === undefined) return `${record.kind} of ${record.group} while ${task} is live`
      this.#tasks.delete(task)
    }
    this.#tasksOfGroup.delete(record.group)
    const { team, kind, generation } = group
    if (record.kind === 'release') this.#groups.delete(record.group)
    else if (record.kind === 'finish') this.#groups.set(record.group, { team, kind, generation, outcome: record.outcome })
    else this.#groups.set(record.group, { team, kind, generation: record.generation })
    return undefined
  }

  #index (task: string, group: string): void {
    const tasks = this.#tasksOfGroup.get(group)
    if (tasks === undefined) this.#tasksOfGroup.set(group, new Set([task]))
    else tasks.add(task)
  }
}
