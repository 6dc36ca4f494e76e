/** Scheduling rules shared by all placers, as pure functions. */
import type { Resources } from '@gypsumspring/protocol'
import {
  DEFAULT_RUN_MS, MAX_IDLE_DELAY_MS, IDLE_DELAY_SHARE, OVERRUN_SHARE, PREEMPTION_TIMEOUT_MS, PRIORITY_CLASSES,
  RESERVATION_OVERDUE_MS
} from '../constants/index.ts'
import type { QuotaClaim, QuotaDemand } from '../../types.ts'
import type { GroupRecord, Reservation, TaskRecord } from '../types.ts'
import { addScaled, fits, ZERO_RESOURCES, maxResources, minResources } from './resources.ts'

/** Number of tasks that one decision starts: all waiting tasks of a gang, one of any other group. */
export function countStartingTasks (group: GroupRecord): number {
  return group.spec.kind === 'gang' ? group.waiting.size : 1
}

/** Tells whether the next tasks of a group fit into the quota. A team without quota is not limited. */
export function fitsQuota (group: GroupRecord, used: Resources, quota: Resources | undefined): boolean {
  return quota === undefined || fits(addScaled(used, group.spec.resources, countStartingTasks(group)), quota)
}

/**
 * Returns what a team may use in this shard now, and what it may use after further claims, both capped at its quota.
 * Undefined for a team without quota. Without claims the shard may use the whole quota.
 */
export function resolveQuotaClaim (
  team: string, quota: Resources | undefined, claims: Map<string, QuotaClaim> | undefined
): QuotaClaim | undefined {
  if (quota === undefined) return undefined
  if (claims === undefined) return { claimed: quota, maxClaim: quota }
  const { claimed = ZERO_RESOURCES, maxClaim = ZERO_RESOURCES } = claims.get(team) ?? {}
  return { claimed: minResources(claimed, quota), maxClaim: minResources(maxResources(claimed, maxClaim), quota) }
}

/** Collects what each team uses, has reserved and waits for. Needs are ordered by class and submission. */
export function collectQuotaDemands (
  used: Iterable<[string, Resources]>, groups: Iterable<GroupRecord>, isReserved: (group: GroupRecord) => boolean
): Map<string, QuotaDemand> {
  const demands = new Map<string, QuotaDemand>()
  const demandOf = (team: string): QuotaDemand => {
    const demand = demands.get(team) ?? { used: ZERO_RESOURCES, reserved: ZERO_RESOURCES, needs: [] }
    demands.set(team, demand)
    return demand
  }
  for (const [team, amount] of used) if (!fits(amount, ZERO_RESOURCES)) demandOf(team).used = amount
  const waiting = [...groups].filter((group) => group.waiting.size > 0)
  for (const group of waiting.sort((a, b) => a.rank - b.rank || compareSubmitted(a, b))) {
    const { team, resources, kind } = group.spec
    if (group.waitReason === 'quota') {
      demandOf(team).needs.push({ resources, tasks: group.waiting.size, allOrNothing: kind === 'gang' })
    } else if (isReserved(group)) {
      const demand = demandOf(team)
      demand.reserved = addScaled(demand.reserved, resources, countStartingTasks(group))
    }
  }
  return demands
}

/**
 * Tells whether a group that waits for quota blocks later groups of its team, which would otherwise take any quota that
 * becomes free before there is enough for this group. A group that does not fit beside the team's services blocks
 * nothing, since services do not end.
 */
export function blocksTeam (group: GroupRecord, usedByServices: Resources, quota: Resources | undefined): boolean {
  return fitsQuota(group, usedByServices, quota)
}

/** Time in ms for which a group waits for capacity on a worker in use before it may use an idle one. */
export function computeIdleDelayMs (
  group: GroupRecord, packingWeight: number, estimatedRunMs: number | undefined
): number {
  const isExempt = group.rank <= PRIORITY_CLASSES.indexOf('high') || estimatedRunMs === undefined
  return isExempt ? 0 : packingWeight * Math.min(estimatedRunMs * IDLE_DELAY_SHARE, MAX_IDLE_DELAY_MS)
}

/**
 * Tells whether a group must leave reserved capacity free: its class is not above that of the reservation, and its task
 * is not expected to end before the reservation starts. A task without an estimate is assumed to end later. Planning a
 * reservation passes no estimate, so that reservations do not use the same capacity.
 */
export function appliesToGroup (
  reservation: Reservation, group: GroupRecord, now: number, estimatedRunMs: number | undefined
): boolean {
  if (reservation.group === group || reservation.group.rank > group.rank) return false
  return estimatedRunMs === undefined || now + estimatedRunMs > reservation.startsAt
}

/** Tells whether a reservation has gone unused for so long that it has to be replanned. */
export function isOverdue (reservation: Reservation, now: number): boolean {
  return reservation.kind === 'preemption'
    ? now > reservation.madeAt + PREEMPTION_TIMEOUT_MS
    : now > Math.max(reservation.startsAt, reservation.madeAt) + RESERVATION_OVERDUE_MS
}

/**
 * Tells whether a group may replace the current backfill reservation of its class. Only a group that was submitted
 * earlier may, so that a stream of small tasks cannot keep the reservation among themselves and starve a gang.
 */
export function mayReplaceBackfill (group: GroupRecord, current: Reservation | undefined): boolean {
  return current === undefined || compareSubmitted(group, current.group) < 0
}

/**
 * Replaces a stale reservation by a new plan. The expected start never moves later: otherwise tasks whose estimates are
 * too short would be admitted to the reserved workers over and over.
 */
export function renewReservation (plan: Reservation, previous: Reservation): Reservation {
  return { ...plan, startsAt: Math.min(plan.startsAt, previous.startsAt) }
}

/** Estimates when a running task ends, in ms; infinity for a service. */
export function estimateEnd (task: TaskRecord, now: number): number {
  if (task.group.spec.kind === 'service') return Infinity
  const end = task.startedAt + (task.expectedRunMs ?? DEFAULT_RUN_MS)
  return end > now ? end : now + OVERRUN_SHARE * (now - task.startedAt)
}

/** Tells whether a running task may be preempted for a group. */
export function isPreemptibleFor (task: TaskRecord, group: GroupRecord): boolean {
  return task.group.spec.preemptible && task.group.rank > group.rank && task.stoppingSince === undefined
}

/** Tells whether a task is a victim that is still expected to stop; false once its preemption has timed out. */
export function isExpectedToStop (task: TaskRecord, now: number): boolean {
  return task.stoppingSince !== undefined && now <= task.stoppingSince + PREEMPTION_TIMEOUT_MS
}

/**
 * Cost of stopping a task: higher classes cost more, and within a class tasks that lose more run time. For a task of a
 * gang the run time of the whole gang is lost.
 */
export function computeVictimCost (task: TaskRecord, now: number): number {
  const gangSize = task.group.spec.kind === 'gang' ? task.group.tasks.length : 1
  const lostMs = Math.max(0, now - task.startedAt) * gangSize
  return (PRIORITY_CLASSES.length - task.group.rank) + lostMs / (lostMs + DEFAULT_RUN_MS)
}

/** Orders groups of one class: smaller dominant share of the team first, then earlier submission. */
export function compareQueueOrder (a: GroupRecord, shareA: number, b: GroupRecord, shareB: number): number {
  return shareA - shareB || compareSubmitted(a, b)
}

export function compareSubmitted (a: GroupRecord, b: GroupRecord): number {
  return a.spec.submittedAt - b.spec.submittedAt || a.sequence - b.sequence
}

/** Key of a worker's spread domain (rack or failure domain) for a group; empty when the group does not spread. */
export function findSpreadKey (group: GroupRecord, worker: { failureDomain: string, rack: string }): string {
  if (group.spec.spread === 'none') return ''
  return group.spec.spread === 'rack' ? `${worker.failureDomain}/${worker.rack}` : worker.failureDomain
}

/**
 * Returns the worker that the next task of a group avoids while another has capacity: the one where its last attempt
 * failed, so that a broken worker does not use up the task's retries before it is excluded. Gangs avoid none.
 */
export function findAvoidedWorker (group: GroupRecord): string | undefined {
  const [first] = group.waiting
  return group.spec.kind === 'gang' ? undefined : first?.failedOn
}

/** Tells whether a group may run in a failure domain. */
export function allowsDomain (group: GroupRecord, failureDomain: string): boolean {
  return group.spec.failureDomains === undefined || group.spec.failureDomains.includes(failureDomain)
}
