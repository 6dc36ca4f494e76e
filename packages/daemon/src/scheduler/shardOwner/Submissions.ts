import type { GroupDefinition, Placer } from '@gypsumspring/core'
import type { Group, Submission, Task } from './types.ts'

/**
 * Gives tasks to the placer. A group is one placement group as long as its definition stays. After a change, its
 * waiting tasks are submitted again as a new placement group; running ones keep the capacity they were placed with.
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
    const shape = describeShape(definition)
    const fits = (task: Task) => task.submission?.open === true && task.submission.shape === shape
    // A gang is placed whole, so it is never split over two submissions.
    const renew = group.kind === 'gang' && !waiting.every(fits)
    const fresh: Task[] = []
    for (const task of waiting) {
      if (!renew && fits(task)) this.#placer.requeue(task.id, now)
      else fresh.push(task)
    }
    // The placer takes a task only once; the earlier submission may still hold running tasks.
    this.withdraw(fresh.map(({ submission }) => submission))
    if (fresh.length > 0) this.#submit(group, definition, fresh)
  }

  /**
   * After a takeover: makes the placer count attempts that run already.
   *
   * @returns False when the attempts differ from the definition, so that `waiting` was not queued with them.
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

  /** Drops submissions; their placed tasks keep their capacity until they are released. */
  withdraw (submissions: Iterable<Submission | undefined>): void {
    for (const submission of submissions) {
      if (submission?.open !== true) continue
      submission.open = false
      this.#byId.delete(submission.id)
      this.#placer.cancel(submission.id)
    }
  }

  #submit (group: Group, definition: GroupDefinition, tasks: Task[]): void {
    // Never the same id twice: the placer may still know tasks of a submission that was withdrawn.
    const id = `${group.id}~${++this.#count}`
    const { resources, revision, failureDomains, estimatedRunMs } = definition
    const submission: Submission = { id, group, shape: describeShape(definition), resources, revision, open: true }
    this.#byId.set(id, submission)
    for (const task of tasks) {
      // A task that leaves an older submission which stays open for others.
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

/** Tells whether a task that was submitted with one definition can be queued under another. */
export function describeShape (definition: GroupDefinition): string {
  const { revision, team, kind, priority, spread, preemptible, failureDomains, estimatedRunMs } = definition
  return JSON.stringify([revision, team, kind, priority, spread, preemptible, failureDomains, estimatedRunMs])
}
