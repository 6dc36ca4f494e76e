import type { GroupDefinition, Placer } from '@gypsumspring/core'
import type { Group, Submission, Task } from './types.ts'

/**
 * Submits tasks to the placer. The tasks of a group form one placement group while the definition is unchanged. After a
 * change, waiting tasks are submitted again as a new placement group; running ones keep the capacity they have.
 */
export class Submissions {
  readonly #placer: Placer
  readonly #byId = new Map<string, Submission>()
  #count = 0

  constructor (placer: Placer) {
    this.#placer = placer
  }

  find (id: string): Submission | undefined {
    return this.#byId.get(id)
  }

  /** Queues waiting tasks of a group. */
  queue (group: Group, definition: GroupDefinition, waiting: Task[], now: number): void {
    const placementKey = computePlacementKey(definition)
    const fits = (task: Task) => task.submission?.open === true && task.submission.placementKey === placementKey
    // A gang is placed as a whole, so it is never split over two submissions.
    const renew = group.kind === 'gang' && !waiting.every(fits)
    const fresh: Task[] = []
    for (const task of waiting) {
      if (!renew && fits(task)) this.#placer.requeue(task.id, now)
      else fresh.push(task)
    }
    // The placer accepts a task only once, so an earlier submission is withdrawn even if some of its tasks run.
    this.withdraw(fresh.map(({ submission }) => submission))
    if (fresh.length > 0) this.#submit(group, definition, fresh)
  }

  /**
   * Registers attempts that already run with the placer, after a takeover.
   *
   * @returns True when `waiting` was submitted together with attempts of the current revision; false when there are no
   * such attempts and `waiting` still has to be queued.
   */
  restore (group: Group, definition: GroupDefinition, live: Task[], waiting: Task[]): boolean {
    const byRevision = new Map<string, Task[]>()
    for (const task of live) byRevision.set(task.revision, [...byRevision.get(task.revision) ?? [], task])
    for (const [revision, tasks] of byRevision) {
      const resources = tasks[0]?.resources ?? definition.resources
      const together = revision === definition.revision ? [...tasks, ...waiting] : tasks
      this.#submit(group, { ...definition, resources, revision }, together)
      for (const task of tasks) if (task.worker !== null) this.#placer.restore(task.id, task.worker)
    }
    return byRevision.has(definition.revision)
  }

  /** Withdraws submissions; their placed tasks keep their capacity until they are released. */
  withdraw (submissions: Iterable<Submission | undefined>): void {
    for (const submission of submissions) {
      if (submission?.open !== true) continue
      submission.open = false
      this.#byId.delete(submission.id)
      this.#placer.cancel(submission.id)
    }
  }

  #submit (group: Group, definition: GroupDefinition, tasks: Task[]): void {
    // Ids are never reused, since the placer may still know tasks of a withdrawn submission.
    const id = `${group.id}~${++this.#count}`
    const { resources, revision, failureDomains, estimatedRunMs } = definition
    const placementKey = computePlacementKey(definition)
    const submission: Submission = { id, group, placementKey, resources, revision, open: true }
    this.#byId.set(id, submission)
    for (const task of tasks) {
      // The task may belong to an older submission that stays open for other tasks.
      this.#placer.withdraw(task.id)
      task.submission = submission
    }
    this.#placer.submit({
      id,
      team: definition.team,
      kind: definition.kind,
      priority: definition.priority,
      spread: definition.spread,
      preemptible: definition.preemptible,
      resources,
      tasks: tasks.map((task) => task.id),
      submittedAt: group.submittedAt,
      ...(failureDomains === undefined ? {} : { failureDomains }),
      ...(estimatedRunMs === undefined ? {} : { estimatedRunMs })
    })
  }
}

/**
 * Serializes the fields of a definition that placement depends on. A submitted task can be queued again under a new
 * definition only when the keys are equal.
 */
export function computePlacementKey (definition: GroupDefinition): string {
  const { revision, team, kind, priority, spread, preemptible, failureDomains, estimatedRunMs } = definition
  return JSON.stringify([revision, team, kind, priority, spread, preemptible, failureDomains, estimatedRunMs])
}
