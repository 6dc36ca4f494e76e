/** Rules that every placer keeps; each is pure. */
import type { Resources } from '@gypsumspring/protocol'
import {
  DEFAULT_RUN_MS, MAX_IDLE_DELAY_MS, IDLE_DELAY_SHARE, OVERRUN_SHARE, PREEMPTION_TIMEOUT_MS, PRIORITY_CLASSES,
  RESERVATION_OVERDUE_MS
} from '../constants/index.ts'
import type { QuotaClaim, QuotaDemand } from '../../types.ts'
import type { GroupRecord, Reservation, TaskRecord } from '../types.ts'
import { addScaled, fits, ZERO_RESOURCES, maxResources, minResources } from './resources.ts'

/** Tasks of a group that start in one decision: all waiting ones of a gang, else one. */
export function countStartingTasks (group: GroupRecord): number {
  return group.spec.kind === 'gang' ? group.waiting.size : 1
}

/** Tells whether a group's next tasks stay within the quota; a team without quota is not limited. */
export function fitsQuota (group: GroupRecord, used: Resources, quota: Resources | undefined): boolean {
  return quota === undefined || fits(addScaled(used, group.spec.resources, countStartingTasks(group)), quota)
}

/** What a team may use now, and what holding back may count on; undefined for a team without quota. */
export function resolveQuotaClaim (
  team: string, quota: Resources | undefined, claims: Map<string, QuotaClaim> | undefined
): QuotaClaim | undefined {
  if (quota === undefined) return undefined
  if (claims === undefined) return { claimed: quota, reachable: quota }
  const { claimed = ZERO_RESOURCES, reachable = ZERO_RESOURCES } = claims.get(team) ?? {}
  return { claimed: minResources(claimed, quota), reachable: minResources(maxResources(claimed, reachable), quota) }
}

/** Sums up what is used and needed of the quotas; needs are in queue order. */
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
      demandOf(team).needs.push({ resources, tasks: group.waiting.size, whole: kind === 'gang' })
    } else if (isReserved(group)) {
      const demand = demandOf(team)
      demand.reserved = addScaled(demand.reserved, resources, countStartingTasks(group))
    }
  }
  return demands
}

/**
 * Tells whether a group that waits for quota holds back later groups of its team, which would otherwise use up each
 * amount that becomes free. A group that cannot start beside the team's services holds back nothing.
 */
export function blocksTeam (group: GroupRecord, usedByServices: Resources, quota: Resources | undefined): boolean {
  return fitsQuota(group, usedByServices, quota)
}

/** Time in ms that a group waits for room on a worker in use before it may open an idle one. */
export function computeIdleDelayMs (
  group: GroupRecord, packingWeight: number, estimatedRunMs: number | undefined
): number {
  const isExempt = group.rank <= PRIORITY_CLASSES.indexOf('high') || estimatedRunMs === undefined
  return isExempt ? 0 : packingWeight * Math.min(estimatedRunMs * IDLE_DELAY_SHARE, MAX_IDLE_DELAY_MS)
}

/**
 * Tells whether a reservation keeps a group away from the reserved capacity. Without an estimate it does whenever the
 * class allows, which is also how reservations are planned beside each other.
 */
export function appliesToGroup (
  reservation: Reservation, group: GroupRecord, now: number, estimatedRunMs: number | undefined
): boolean {
  if (reservation.group === group || reservation.group.rank > group.rank) return false
  return estimatedRunMs === undefined || now + estimatedRunMs > reservation.startsAt
}

/** Tells whether a reservation has waited so long that it has to be planned again. */
export function isOverdue (reservation: Reservation, now: number): boolean {
  return reservation.kind === 'preemption'
    ? now > reservation.madeAt + PREEMPTION_TIMEOUT_MS
    : now > Math.max(reservation.startsAt, reservation.madeAt) + RESERVATION_OVERDUE_MS
}

/**
 * Tells whether a group may take a backfill reservation over from its holder. The group that was submitted first has
 * it, or a stream of small work would hand it on from one task to the next and a gang would never get it.
 */
export function mayReplaceBackfill (group: GroupRecord, current: Reservation | undefined): boolean {
  return current === undefined || compareSubmitted(group, current.group) < 0
}

/**
 * Renews an overdue plan. The expected start never moves later: work with estimates that are too short would otherwise
 * be let in on the reserved workers again and again.
 */
export function renewReservation (plan: Reservation, previous: Reservation): Reservation {
  return { ...plan, startsAt: Math.min(plan.startsAt, previous.startsAt) }
}

/** Expected end of a running task in ms; infinity for a service. */
export function estimateEnd (task: TaskRecord, now: number): number {
  if (task.group.spec.kind === 'service') return Infinity
  const end = task.startedAt + (task.expectedRunMs ?? DEFAULT_RUN_MS)
  return end > now ? end : now + OVERRUN_SHARE * (now - task.startedAt)
}

/** Tells whether a running task may be stopped for a group. */
export function isPreemptibleFor (task: TaskRecord, group: GroupRecord): boolean {
  return task.group.spec.preemptible && task.group.rank > group.rank && task.stoppingSince === undefined
}

/** Tells whether a victim can be expected to end; one that has not ended in time is not counted on any more. */
export function isExpectedToStop (task: TaskRecord, now: number): boolean {
  return task.stoppingSince !== undefined && now <= task.stoppingSince + PREEMPTION_TIMEOUT_MS
}

/** Cost of stopping a task: higher classes cost more; inside a class the run time lost, by all tasks of a gang. */
export function computeVictimCost (task: TaskRecord, now: number): number {
  const gangSize = task.group.spec.kind === 'gang' ? task.group.tasks.length : 1
  const lostMs = Math.max(0, now - task.startedAt) * gangSize
  return (PRIORITY_CLASSES.length - task.group.rank) + lostMs / (lostMs + DEFAULT_RUN_MS)
}

/** Orders groups of one class: smaller share of the team first, then earlier submission. */
export function compareQueueOrder (a: GroupRecord, shareA: number, b: GroupRecord, shareB: number): number {
  return shareA - shareB || compareSubmitted(a, b)
}

export function compareSubmitted (a: GroupRecord, b: GroupRecord): number {
  return a.spec.submittedAt - b.spec.submittedAt || a.sequence - b.sequence
}

/** Domain over which a group spreads, as a key; empty when it does not. */
export function findSpreadKey (group: GroupRecord, worker: { failureDomain: string, rack: string }): string {
  if (group.spec.spread === 'none') return ''
  return group.spec.spread === 'rack' ? `${worker.failureDomain}/${worker.rack}` : worker.failureDomain
}

/**
 * Worker that a group's next task avoids while any other has room: the one where its last attempt failed, so that a
 * worker that fails everything does not use up the task's retries before it is found. Gangs avoid none.
 */
export function findAvoidedWorker (group: GroupRecord): string | undefined {
  const [first] = group.waiting
  return group.spec.kind === 'gang' ? undefined : first?.failedOn
}

/** Tells whether a group may run in a failure domain. */
export function allowsDomain (group: GroupRecord, failureDomain: string): boolean {
  return group.spec.failureDomains === undefined || group.spec.failureDomains.includes(failureDomain)
}
