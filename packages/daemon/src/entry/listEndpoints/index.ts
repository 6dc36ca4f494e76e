import type { Configuration, Endpoint } from '@gypsumspring/protocol'
import type { AddressedRunner } from '../requestDispatcher/index.ts'

/** An endpoint with what an entry needs to route requests to it. */
export interface RoutedEndpoint {
  id: string
  queueLimit: number
  runners: AddressedRunner[]
}

const DEFAULT_QUEUE_LIMIT = 200

/**
 * Lists the endpoints of a configuration with the state of their runners.
 *
 * @param configuration - The configuration in force.
 * @param leavingVms - Ids of VMs that the inventory lists as leaving.
 * @returns The endpoints in order of their ids. A runner is leaving if it is drained or its VM is leaving. If two
 * scopes declare the same endpoint, the first scope by name is used, so that all entries agree.
 *
 * @example
 * listEndpoints(configuration, new Set(['vm-7']))
 */
export function listEndpoints (configuration: Configuration, leavingVms: ReadonlySet<string>): RoutedEndpoint[] {
  const drained = new Set(configuration.index.operations.drainedRunners.map(({ endpoint, runner }) => `${endpoint}/${runner}`))
  const found = new Map<string, RoutedEndpoint>()
  for (const scope of Object.keys(configuration.manifests).sort()) {
    for (const endpoint of configuration.manifests[scope]?.endpoints ?? []) {
      if (!found.has(endpoint.id)) found.set(endpoint.id, toRoutedEndpoint(endpoint, drained, leavingVms))
    }
  }
  return [...found.values()].sort((a, b) => a.id < b.id ? -1 : 1)
}

function toRoutedEndpoint (endpoint: Endpoint, drained: Set<string>, leavingVms: ReadonlySet<string>): RoutedEndpoint {
  return {
    id: endpoint.id,
    queueLimit: endpoint.queueLimit ?? DEFAULT_QUEUE_LIMIT,
    runners: endpoint.runners.map(({ id, address, failureDomain, vm }) => ({
      id,
      address,
      failureDomain,
      // Each connection in use needs a token, so the connection limit also limits the tokens.
      slots: Math.min(endpoint.slotsPerRunner, endpoint.connectionsPerRunner),
      leaving: drained.has(`${endpoint.id}/${id}`) || (vm !== undefined && leavingVms.has(vm))
    }))
  }
}
