import type { Resources } from '@gypsumspring/protocol'
import type { PlacementDecision, QuotaClaim, TaskGroup, WorkerNode } from '../../types.ts'

const ZERO_RESOURCES: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }

/** Model of a cell, independent of the placers, that throws when a decision breaks a scheduling rule. */
export class CellModel {
  readonly workers = new Map<string, WorkerNode>()
  readonly unavailable = new Set<string>()
  readonly groups = new Map<string, TaskGroup>()
  readonly groupByTask = new Map<string, TaskGroup>()
  readonly placed = new Map<string, string>()
  readonly waiting = new Set<string>()
  readonly victims = new Set<string>()
  quotas = new Map<string, Resources>()
  claims: Map<string, QuotaClaim> | undefined

  apply (decision: PlacementDecision): void {
    const group = this.groups.get(decision.group)
    if (group === undefined) throw new Error(`decision for unknown group ${decision.group}`)
    if (decision.kind === 'impossible') {
      for (const task of group.tasks) this.waiting.delete(task)
      if (!group.tasks.some((task) => this.placed.has(task))) this.groups.delete(group.id)
      return
    }
    if (decision.kind === 'preempt') {
      for (const victim of decision.victims) this.#checkVictim(group, victim)
      return
    }
    const expected = group.tasks.filter((task) => this.waiting.has(task))
    const started = decision.placements.map(({ task }) => task)
    if (group.kind === 'gang' && new Set(started).size !== expected.length) throw new Error(`only some tasks of gang ${group.id} are started`)
    for (const { task, worker } of decision.placements) {
      if (!expected.includes(task)) throw new Error(`task ${task} is not waiting in group ${group.id}`)
      if (!this.waiting.delete(task) || this.placed.has(task)) throw new Error(`task ${task} is placed twice`)
      const node = this.workers.get(worker)
      if (node === undefined || this.unavailable.has(worker)) throw new Error(`worker ${worker} may not start tasks`)
      if (group.failureDomains?.includes(node.failureDomain) === false) throw new Error(`failure domain ${node.failureDomain} is not allowed for task ${task}`)
      this.placed.set(task, worker)
      const overLimit = this.findOverLimit(node, group.team)
      if (overLimit !== undefined) throw new Error(`${overLimit} exceeds its limit`)
    }
  }

  /** Names the worker that exceeds its capacity, or else the team that exceeds its quota or claim. */
  findOverLimit (node: WorkerNode, team: string): string | undefined {
    if (exceeds(this.#sum((task) => this.placed.get(task) === node.id), node.capacity)) return `worker ${node.id}`
    const quota = this.quotas.get(team)
    if (quota === undefined) return undefined
    const used = this.#sum((task) => this.groupByTask.get(task)!.team === team)
    const claimed = this.claims === undefined ? quota : this.claims.get(team)?.claimed ?? ZERO_RESOURCES
    return exceeds(used, quota) || exceeds(used, claimed) ? `team ${team}` : undefined
  }

  /** Sums the resources of the placed tasks that match a condition. */
  #sum (selects: (task: string) => boolean): Resources {
    const total = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }
    for (const task of this.placed.keys()) {
      if (!selects(task)) continue
      const { cpuMillis, memoryMb, accelerators } = this.groupByTask.get(task)!.resources
      total.cpuMillis += cpuMillis
      total.memoryMb += memoryMb
      total.accelerators += accelerators
    }
    return total
  }

  #checkVictim (group: TaskGroup, victim: string): void {
    const other = this.groupByTask.get(victim)
    if (!this.placed.has(victim) || other === undefined) throw new Error(`victim ${victim} is not running`)
    if (!other.preemptible || other.priority === 'urgent' || group.priority !== 'urgent') throw new Error(`victim ${victim} is not preemptible for group ${group.id}`)
    if (this.victims.has(victim)) throw new Error(`victim ${victim} is already being stopped`)
    this.victims.add(victim)
  }
}

function exceeds (used: Resources, limit: Resources): boolean {
  return used.cpuMillis > limit.cpuMillis || used.memoryMb > limit.memoryMb || used.accelerators > limit.accelerators
}
