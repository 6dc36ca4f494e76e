import type { RunnerClient } from '@gypsumspring/adapters'
import type { EndpointRouter, SlotRunner } from '@gypsumspring/core'
import type { Configuration } from '@gypsumspring/protocol'
import type { Metrics } from '../../metrics/index.ts'
import { listEndpoints, type RoutedEndpoint } from '../listEndpoints/index.ts'
import { RouteTask } from '../routeTask/index.ts'

export interface EndpointRoutesParts {
  createRouter: (endpoint: string) => EndpointRouter
  runners: RunnerClient
  metrics: Metrics
  /** Called when requests wait after a submission. */
  onWaiting: () => void
}

/** The route tasks of all endpoints, kept in step with the configuration and the list of leaving VMs. */
export class EndpointRoutes {
  readonly #parts: EndpointRoutesParts
  readonly #tasks = new Map<string, RouteTask>()
  /** Connections allowed by address and endpoint. */
  readonly #limits = new Map<string, Map<string, number>>()
  #endpoints: RoutedEndpoint[] = []
  #listed = new Set<string>()
  #teams = new Set<string>()

  constructor (parts: EndpointRoutesParts) {
    this.#parts = parts
  }

  configure (configuration: Configuration, leavingVms: ReadonlySet<string>): void {
    this.#endpoints = listEndpoints(configuration, leavingVms)
    const teams = Object.values(configuration.manifests).flatMap((manifest) => manifest.teams)
    this.#teams = new Set(teams.map(({ id }) => id))
    const shares = new Map(teams.map(({ id, requestShare }) => [id, requestShare ?? 1]))
    for (const { id, queueLimit, runners } of this.#endpoints) {
      const task = this.#tasks.get(id) ?? this.#add(id)
      task.setLimits(queueLimit, shares)
      task.setRunners(runners)
    }
    this.#listed = new Set(this.#endpoints.map(({ id }) => id))
    // The task of a removed endpoint stays: requests in flight hold tokens that still have to be reported.
    for (const [id, task] of this.#tasks) if (!this.#listed.has(id)) task.setRunners([])
  }

  hasTeam (team: string): boolean {
    return this.#teams.has(team)
  }

  find (endpoint: string): RouteTask | undefined {
    return this.#listed.has(endpoint) ? this.#tasks.get(endpoint) : undefined
  }

  all (): Map<string, RouteTask> {
    return this.#tasks
  }

  endpoints (): RoutedEndpoint[] {
    return this.#endpoints
  }

  /** Runners of a failure domain with the slots that its allocator hands out. */
  listSlots (failureDomain: string): SlotRunner[] {
    return this.#endpoints.flatMap(({ id, runners }) => runners
      .filter((runner) => runner.failureDomain === failureDomain)
      .map((runner) => ({ endpoint: id, runner: runner.id, slots: runner.slots })))
  }

  get inFlight (): number {
    return [...this.#tasks.values()].reduce((sum, task) => sum + task.inFlight, 0)
  }

  close (): void {
    for (const task of this.#tasks.values()) task.close()
  }

  #add (endpoint: string): RouteTask {
    const { createRouter, metrics, onWaiting } = this.#parts
    const runners = this.#limitedBy(endpoint)
    const task = new RouteTask({ endpoint, router: createRouter(endpoint), runners, metrics, onWaiting })
    this.#tasks.set(endpoint, task)
    return task
  }

  /** Runners that several endpoints list under one address get the sum of the connections that each allows. */
  #limitedBy (endpoint: string): RunnerClient {
    const { runners } = this.#parts
    return {
      send: async (address, request) => await runners.send(address, request),
      limitConnections: (address, connections) => {
        const limits = this.#limits.get(address) ?? new Map<string, number>()
        this.#limits.set(address, limits.set(endpoint, connections))
        runners.limitConnections(address, [...limits.values()].reduce((sum, limit) => sum + limit, 0))
      },
      close: async () => await runners.close()
    }
  }
}
