import type { GroupRecord, TaskRecord } from '../types.ts'
import { findSpreadKey } from '../_lib/rules.ts'
import type { WorkerEntry } from './WorkerTable.ts'

/** What the tasks of several groups have in common for the search; failed searches are remembered here. */
export interface GroupShape {
  /** Version of the free capacity at which no worker had room. */
  noRoomAt: number
  /** Plan versions at which planning failed, by class and number of tasks. */
  planFailedAt: Map<string, number>
}

/** What the indexed placer keeps of a group. */
export interface GroupState {
  key: string
  shape: GroupShape
  spreadCounts: Map<string, number> | undefined
}

/** Finds the shape of a group, and counts its tasks in each spread domain. */
export class GroupIndex {
  readonly #shapes = new Map<string, { shape: GroupShape, groups: number }>()

  add (group: GroupRecord): void {
    const { resources: { cpuMillis, memoryMb, accelerators }, failureDomains, kind, spread } = group.spec
    const key = [cpuMillis, memoryMb, accelerators, kind === 'gang', failureDomains?.join() ?? '*'].join('|')
    const known = this.#shapes.get(key) ?? { shape: { noRoomAt: -1, planFailedAt: new Map() }, groups: 0 }
    known.groups++
    this.#shapes.set(key, known)
    group.index = { key, shape: known.shape, spreadCounts: spread === 'none' ? undefined : new Map() }
  }

  remove (group: GroupRecord): void {
    const state = group.index
    if (state === undefined) return
    group.index = undefined
    const known = this.#shapes.get(state.key)!
    if (--known.groups === 0) this.#shapes.delete(state.key)
  }

  get (group: GroupRecord): GroupState {
    return group.index!
  }

  /** Counts a task that was placed (1) or released (-1); a cancelled group is not counted any more. */
  countTask (task: TaskRecord, entry: WorkerEntry, change: 1 | -1): void {
    const counts = task.group.index?.spreadCounts
    if (counts === undefined) return
    const key = findSpreadKey(task.group, entry.node)
    const count = (counts.get(key) ?? 0) + change
    if (count > 0) counts.set(key, count)
    else counts.delete(key)
  }
}
