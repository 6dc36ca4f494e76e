import type { Resources } from '@gypsumspring/protocol'
import type { PlacementDecision, QuotaClaim, TaskGroup, WorkerNode } from '../../types.ts'

const NOTHING: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }

/** Independent record of a cell that checks each decision against the rules; throws at the first broken one. */
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
    if (group.kind === 'gang' && new Set(started).size !== expected.length) throw new Error(`gang ${group.id} started in part`)
    for (const { task, worker } of decision.placements) {
      if (!expected.includes(task)) throw new Error(`task ${task} does not wait in group ${group.id}`)
      if (!this.waiting.delete(task) || this.placed.has(task)) throw new Error(`task ${task} is in two places`)
      const node = this.workers.get(worker)
      if (node === undefined || this.unavailable.has(worker)) throw new Error(`worker ${worker} may not start tasks`)
      if (group.failureDomains?.includes(node.failureDomain) === false) throw new Error(`task ${task} is in a wrong domain`)
      this.placed.set(task, worker)
      const overLimit = this.findOverLimit(node, group.team)
      if (overLimit !== undefined) throw new Error(`${overLimit} is over its limit`)
    }
  }

  /** Names the worker or team that is over its capacity, quota or claim. */
  findOverLimit (node: WorkerNode, team: string): string | undefined {
    if (exceeds(this.#sum((task) => this.placed.get(task) === node.id), node.capacity)) return `worker ${node.id}`
    const quota = this.quotas.get(team)
    if (quota === undefined) return undefined
    const used = this.#sum((task) => this.groupByTask.get(task)!.team === team)
    const claimed = this.claims === undefined ? quota : this.claims.get(team)?.claimed ?? NOTHING
    return exceeds(used, quota) || exceeds(used, claimed) ? `team ${team}` : undefined
  }

  /** Amounts held by the placed tasks that a condition selects. */
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
    if (!this.placed.has(victim) || other === undefined) throw new Error(`victim ${victim} does not run`)
    if (!other.preemptible || other.priority === 'urgent' || group.priority !== 'urgent') throw new Error(`victim ${victim} is protected`)
    if (this.victims.has(victim)) throw new Error(`victim ${victim} is already being stopped`)
    this.victims.add(victim)
  }
}

function exceeds (used: Resources, limit: Resources): boolean {
  return used.cpuMillis > limit.cpuMillis || used.memoryMb > limit.memoryMb || used.accelerators > limit.accelerators
}
