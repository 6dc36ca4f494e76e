import type { Readiness } from '../operatorApi/index.ts'

export interface EntryHealth {
  stopping: boolean
  hasConfiguration: boolean
  accepting: boolean
  tableDown: boolean
  objectsDown: boolean
  /** Failure domains whose slot allocator does not answer. */
  unreachableDomains: string[]
}

/**
 * Tells whether an entry can serve, and what it can't serve at present.
 *
 * @param health - What the parts of the entry observe.
 * @returns Ready as soon as a configuration is in force and callers are accepted; a missing dependency degrades.
 *
 * @example
 * describeReadiness({ stopping: false, hasConfiguration: true, accepting: true, tableDown: false, ... })
 */
export function describeReadiness (health: EntryHealth): Readiness {
  const reason = health.stopping
    ? 'the process is leaving'
    : health.hasConfiguration ? 'the caller port is not open' : 'no configuration is known'
  const ready = !health.stopping && health.hasConfiguration && health.accepting
  return { ready, ...(ready ? {} : { reason }), degraded: listDegradations(health) }
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
