import type { RunnerClient } from '@gypsumspring/adapters'
import type { EndpointRouter, SlotRunner } from '@gypsumspring/core'
import type { Configuration } from '@gypsumspring/protocol'
import type { Metrics } from '../../metrics/index.ts'
import { listEndpoints, type RoutedEndpoint } from '../listEndpoints/index.ts'
import { RequestDispatcher } from '../requestDispatcher/index.ts'

export interface EndpointDispatchersOptions {
  createRouter: (endpoint: string) => EndpointRouter
  runners: RunnerClient
  metrics: Metrics
  /** Called after a submission if requests are waiting. */
  onWaiting: () => void
}

/** The dispatchers of all endpoints, kept in sync with the configuration and the list of leaving VMs. */
export class EndpointDispatchers {
  readonly #options: EndpointDispatchersOptions
  readonly #dispatchers = new Map<string, RequestDispatcher>()
  /** Connection limits by runner address and endpoint. */
  readonly #connectionLimits = new Map<string, Map<string, number>>()
  #endpoints: RoutedEndpoint[] = []
  #configuredEndpoints = new Set<string>()
  #teams = new Set<string>()

  constructor (options: EndpointDispatchersOptions) {
    this.#options = options
  }

  configure (configuration: Configuration, leavingVms: ReadonlySet<string>): void {
    this.#endpoints = listEndpoints(configuration, leavingVms)
    const teams = Object.values(configuration.manifests).flatMap((manifest) => manifest.teams)
    this.#teams = new Set(teams.map(({ id }) => id))
    const shares = new Map(teams.map(({ id, requestShare }) => [id, requestShare ?? 1]))
    for (const { id, queueLimit, runners } of this.#endpoints) {
      const dispatcher = this.#dispatchers.get(id) ?? this.#add(id)
      dispatcher.setLimits(queueLimit, shares)
      dispatcher.setRunners(runners)
    }
    this.#configuredEndpoints = new Set(this.#endpoints.map(({ id }) => id))
    // The dispatcher of a removed endpoint is kept: its requests in flight hold tokens that must still be reported.
    for (const [id, dispatcher] of this.#dispatchers) if (!this.#configuredEndpoints.has(id)) dispatcher.setRunners([])
  }

  hasTeam (team: string): boolean {
    return this.#teams.has(team)
  }

  find (endpoint: string): RequestDispatcher | undefined {
    return this.#configuredEndpoints.has(endpoint) ? this.#dispatchers.get(endpoint) : undefined
  }

  all (): Map<string, RequestDispatcher> {
    return this.#dispatchers
  }

  endpoints (): RoutedEndpoint[] {
    return this.#endpoints
  }

  /** Lists the runners of a failure domain with the number of slots that its allocator can grant. */
  listSlots (failureDomain: string): SlotRunner[] {
    return this.#endpoints.flatMap(({ id, runners }) => runners
      .filter((runner) => runner.failureDomain === failureDomain)
      .map((runner) => ({ endpoint: id, runner: runner.id, slots: runner.slots })))
  }

  get inFlight (): number {
    return [...this.#dispatchers.values()].reduce((sum, dispatcher) => sum + dispatcher.inFlight, 0)
  }

  close (): void {
    for (const dispatcher of this.#dispatchers.values()) dispatcher.close()
  }

  #add (endpoint: string): RequestDispatcher {
    const { createRouter, metrics, onWaiting } = this.#options
    const runners = this.#createRunnerClient(endpoint)
    const dispatcher = new RequestDispatcher({ endpoint, router: createRouter(endpoint), runners, metrics, onWaiting })
    this.#dispatchers.set(endpoint, dispatcher)
    return dispatcher
  }

  /** Creates a client that sums the connection limits of all endpoints whose runners share an address. */
  #createRunnerClient (endpoint: string): RunnerClient {
    const { runners } = this.#options
    return {
      send: async (address, request) => await runners.send(address, request),
      limitConnections: (address, connections) => {
        const limits = this.#connectionLimits.get(address) ?? new Map<string, number>()
        this.#connectionLimits.set(address, limits.set(endpoint, connections))
        runners.limitConnections(address, [...limits.values()].reduce((sum, limit) => sum + limit, 0))
      },
      close: async () => await runners.close()
    }
  }
}
