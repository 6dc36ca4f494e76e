import { findSpreadKey } from '../_lib/rules.ts'
import type { GroupRecord, TaskRecord } from '../types.ts'
import type { WorkerEntry } from './WorkerTable.ts'

/** What groups alike have in common for the search; failed searches are remembered here. */
export interface GroupShape {
  key: string
  groups: number
  /** Version of the free capacity at which no worker had room. */
  noRoomAt: number
  /** Plan versions at which planning failed, by class and number of tasks. */
  planFailedAt: Map<string, number> | undefined
}

/** Finds the shape of each group, and counts its tasks in each spread domain. */
export class GroupIndex {
  readonly #shapes = new Map<string, GroupShape>()

  add (group: GroupRecord): void {
    const { resources: { cpuMillis, memoryMb, accelerators }, failureDomains, kind, spread } = group.spec
    const key = [cpuMillis, memoryMb, accelerators, kind === 'gang', failureDomains?.join() ?? '*'].join('|')
    let shape = this.#shapes.get(key)
    if (shape === undefined) {
      shape = { key, groups: 0, noRoomAt: -1, planFailedAt: undefined }
      this.#shapes.set(key, shape)
    }
    shape.groups++
    group.shape = shape
    if (spread !== 'none') group.spreadCounts = new Map()
  }

  remove (group: GroupRecord): void {
    const { shape } = group
    if (shape === undefined) return
    group.shape = undefined
    group.spreadCounts = undefined
    if (--shape.groups === 0) this.#shapes.delete(shape.key)
  }

  /** Counts a task that was placed (1) or released (-1); a cancelled group is not counted any more. */
  countTask ({ group }: TaskRecord, entry: WorkerEntry, change: 1 | -1): void {
    if (group.spreadCounts === undefined) return
    const key = findSpreadKey(group, entry.node)
    const count = (group.spreadCounts.get(key) ?? 0) + change
    if (count > 0) group.spreadCounts.set(key, count)
    else group.spreadCounts.delete(key)
  }
}
