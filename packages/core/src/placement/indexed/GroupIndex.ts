import { findSpreadKey } from '../_lib/rules.ts'
import type { GroupRecord, TaskRecord } from '../types.ts'
import type { WorkerEntry } from './WorkerTable.ts'

/**
 * Groups that need the same resources, allow the same failure domains and are all gangs or all not, so that a worker
 * with enough free capacity exists for all or none of them. Caches failed searches and plans.
 */
export interface EquivalenceClass {
  key: string
  groupCount: number
  /** `capacityVersion` at which no worker had capacity for a task; -1 for none. */
  noCapacityAtVersion: number
  /** `planVersion` at which planning failed, by kind of plan, priority class and number of tasks. */
  failedPlanVersions: Map<string, number> | undefined
}

/** Assigns each group to its equivalence class and counts its placed tasks in each spread domain. */
export class GroupIndex {
  readonly #equivalenceClasses = new Map<string, EquivalenceClass>()

  add (group: GroupRecord): void {
    const { resources: { cpuMillis, memoryMb, accelerators }, failureDomains, kind, spread } = group.spec
    const key = [cpuMillis, memoryMb, accelerators, kind === 'gang', failureDomains?.join() ?? '*'].join('|')
    let equivalenceClass = this.#equivalenceClasses.get(key)
    if (equivalenceClass === undefined) {
      equivalenceClass = { key, groupCount: 0, noCapacityAtVersion: -1, failedPlanVersions: undefined }
      this.#equivalenceClasses.set(key, equivalenceClass)
    }
    equivalenceClass.groupCount++
    group.equivalenceClass = equivalenceClass
    if (spread !== 'none') group.spreadCounts = new Map()
  }

  remove (group: GroupRecord): void {
    const { equivalenceClass } = group
    if (equivalenceClass === undefined) return
    group.equivalenceClass = undefined
    group.spreadCounts = undefined
    if (--equivalenceClass.groupCount === 0) this.#equivalenceClasses.delete(equivalenceClass.key)
  }

  /** Counts a task that was placed (1) or released (-1). Removed groups are no longer counted. */
  adjustSpreadCount ({ group }: TaskRecord, entry: WorkerEntry, change: 1 | -1): void {
    if (group.spreadCounts === undefined) return
    const key = findSpreadKey(group, entry.node)
    const count = (group.spreadCounts.get(key) ?? 0) + change
    if (count > 0) group.spreadCounts.set(key, count)
    else group.spreadCounts.delete(key)
  }
}
