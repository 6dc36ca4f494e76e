import type { Readiness } from '../operatorApi/index.ts'

export interface EntryHealth {
  stopping: boolean
  hasConfiguration: boolean
  accepting: boolean
  /** Whether slot tokens are held or can be obtained. */
  hasSlots: boolean
  tableDown: boolean
  objectsDown: boolean
  /** Failure domains whose slot allocator does not respond. */
  unreachableDomains: string[]
}

/**
 * Describes whether an entry can serve requests, and which functions are unavailable at present.
 *
 * @param health - State of the components of the entry.
 * @returns Ready if a configuration is in force, callers are accepted and slot tokens can be obtained. An unavailable
 * dependency only degrades the entry.
 *
 * @example
 * describeReadiness({ stopping: false, hasConfiguration: true, accepting: true, tableDown: false, ... })
 */
export function describeReadiness (health: EntryHealth): Readiness {
  const reason = findNotReadyReason(health)
  const degraded = listDegradations(health)
  return reason === undefined ? { ready: true, degraded } : { ready: false, reason, degraded }
}

function findNotReadyReason ({ stopping, hasConfiguration, accepting, hasSlots }: EntryHealth): string | undefined {
  if (stopping) return 'the process is leaving'
  if (!hasConfiguration) return 'no configuration is known'
  if (!accepting) return 'the caller port is not open'
  return hasSlots ? undefined : 'no slot tokens are held, and no allocator is known while the table service does not answer'
}

function listDegradations ({ tableDown, objectsDown, unreachableDomains }: EntryHealth): Readiness['degraded'] {
  const degraded: Readiness['degraded'] = []
  if (tableDown) {
    degraded.push({
      dependency: 'table service',
      stillServed: 'repeatable requests, with the slot tokens held',
      notServed: 'not-repeatable requests, apply, drain, cancel, new entries'
    })
  }
  if (objectsDown) {
    degraded.push({
      dependency: 'object store',
      stillServed: 'all requests; new answers to not-repeatable ones are kept in memory',
      notServed: 'apply, stored answers to repeats at other entries'
    })
  }
  for (const domain of unreachableDomains) {
    degraded.push({
      dependency: `slot allocator of ${domain}`,
      stillServed: 'requests, with the slot tokens held',
      notServed: 'balancing of slots between entries'
    })
  }
  return degraded
}
