import { Type, type Static } from '@sinclair/typebox'

const identifierOptions = {
  pattern: '^[a-z0-9][a-z0-9-]{0,62}$', description: 'lower-case letters, digits and hyphens'
}
const Identifier = Type.String(identifierOptions)

/** An identifier with its meaning as the title: the description is shown to those who break the pattern. */
const identifier = (title: string) => Type.String({ ...identifierOptions, title })

/** Amounts of a worker, a task or a quota. */
export const Resources = Type.Object({
  cpuMillis: Type.Integer({ minimum: 0, maximum: 10_000_000_000, description: 'thousandths of a processor' }),
  memoryMb: Type.Integer({ minimum: 0, maximum: 100_000_000_000, description: 'MiB' }),
  accelerators: Type.Integer({ minimum: 0, maximum: 10_000_000, default: 0, description: 'whole accelerators' })
}, { additionalProperties: false })
export type Resources = Static<typeof Resources>

export const Team = Type.Object({
  id: identifier('name of the team'),
  quota: Type.Object(Resources.properties, {
    additionalProperties: false, title: 'most that the tasks of the team may hold at once in the whole cell'
  }),
  requestShare: Type.Optional(Type.Number({
    minimum: 0.01, maximum: 100, default: 1, description: 'weight of the team in an endpoint\'s queue'
  }))
}, { additionalProperties: false })
export type Team = Static<typeof Team>

export const EndpointRunner = Type.Object({
  id: identifier('name of the runner'),
  address: Type.String({ pattern: '^[0-9a-fA-F.:\\[\\]]+:[0-9]{1,5}$', description: 'IP address and port' }),
  failureDomain: identifier('failure domain that the runner is in'),
  vm: Type.Optional(Type.String({ description: 'VM id in the inventory; the runner leaves with it' }))
}, { additionalProperties: false })
export type EndpointRunner = Static<typeof EndpointRunner>

export const Endpoint = Type.Object({
  id: identifier('name of the endpoint; unique in the cell'),
  slotsPerRunner: Type.Integer({ minimum: 1, maximum: 1024, description: 'requests a runner works on at once' }),
  connectionsPerRunner: Type.Integer({ minimum: 1, maximum: 4096, description: 'open connections a runner accepts' }),
  queueLimit: Type.Optional(Type.Integer({
    minimum: 0, maximum: 100_000, default: 200, description: 'requests that wait in one entry'
  })),
  runners: Type.Array(EndpointRunner, { minItems: 1, maxItems: 10_000, title: 'processes that answer the requests' })
}, { additionalProperties: false })
export type Endpoint = Static<typeof Endpoint>

export const WorkloadKind = Type.Union([Type.Literal('service'), Type.Literal('batch'), Type.Literal('gang')], {
  title: 'a service runs until it is removed, a batch run ends, the tasks of a gang start together'
})
export type WorkloadKind = Static<typeof WorkloadKind>

export const PriorityClass = Type.Union([
  Type.Literal('urgent'), Type.Literal('high'), Type.Literal('normal'), Type.Literal('low')
], { title: 'class in the queue; default: normal' })
export type PriorityClass = Static<typeof PriorityClass>

export const Spread = Type.Union([Type.Literal('none'), Type.Literal('rack'), Type.Literal('failure-domain')], {
  title: 'what the tasks are spread over; default: none'
})
export type Spread = Static<typeof Spread>

export const Workload = Type.Object({
  id: identifier('name of the workload'),
  team: identifier('team that the workload belongs to'),
  kind: WorkloadKind,
  tasks: Type.Integer({ minimum: 1, maximum: 100_000, description: 'number of tasks' }),
  resources: Type.Object(Resources.properties, { additionalProperties: false, title: 'what each task needs' }),
  priority: Type.Optional(PriorityClass),
  spread: Type.Optional(Spread),
  preemptible: Type.Optional(Type.Boolean({ default: false, description: 'may be checkpointed and stopped for urgent work' })),
  retryLimit: Type.Optional(Type.Integer({ minimum: 0, maximum: 100, default: 3, description: 'new attempts after a failure' })),
  estimatedRunSeconds: Type.Optional(Type.Number({ minimum: 0, maximum: 31_536_000, description: 'run time expected by the owner' })),
  restart: Type.Optional(Type.Union([Type.Literal('always'), Type.Literal('on-failure'), Type.Literal('never')], {
    title: 'when an ended task runs again; default: always for a service, else on-failure'
  })),
  failureDomains: Type.Optional(Type.Array(Identifier, { minItems: 1, description: 'failure domains allowed; default: all' })),
  payload: Type.Optional(Type.Record(Type.String(), Type.Unknown(), { description: 'passed to the worker unchanged' }))
}, { additionalProperties: false })
export type Workload = Static<typeof Workload>

/** What an operator's build pipeline generates for one scope. */
export const Manifest = Type.Object({
  scope: identifier('name under which one pipeline applies its manifest'),
  packingWeight: Type.Optional(Type.Number({
    minimum: 0, maximum: 1, default: 0.5, description: '0 minimises waiting time, 1 maximises packing'
  })),
  teams: Type.Array(Team, { minItems: 1, maxItems: 1000, title: 'teams with their quotas' }),
  endpoints: Type.Optional(Type.Array(Endpoint, { maxItems: 10_000, title: 'endpoints that callers reach under /e/<id>' })),
  workloads: Type.Optional(Type.Array(Workload, { maxItems: 100_000, title: 'services, batch runs and gangs' }))
}, { additionalProperties: false, $id: 'gypsumspring/manifest' })
export type Manifest = Static<typeof Manifest>

/** Drains and cancellations by operators; kept apart from manifests so that the next manifest does not undo them. */
export const Operations = Type.Object({
  drainedRunners: Type.Array(Type.Object({ endpoint: Identifier, runner: Identifier })),
  cancelledWorkloads: Type.Array(Type.Object({ scope: Identifier, workload: Identifier }))
}, { additionalProperties: false })
export type Operations = Static<typeof Operations>

/** Value of the table row `config/current`. */
export const ConfigurationIndex = Type.Object({
  version: Type.Integer({ minimum: 0 }),
  scopes: Type.Record(Type.String(), Type.Object({ version: Type.Integer({ minimum: 1 }), hash: Type.String() })),
  operations: Operations
})
export type ConfigurationIndex = Static<typeof ConfigurationIndex>

/** Index of a cell to which nothing was ever applied. */
export const EMPTY_CONFIGURATION_INDEX: ConfigurationIndex = {
  version: 0, scopes: {}, operations: { drainedRunners: [], cancelledWorkloads: [] }
}

/** A whole configuration: the index with the manifest of each scope. */
export const Configuration = Type.Object({
  index: ConfigurationIndex,
  manifests: Type.Record(Type.String(), Manifest)
})
export type Configuration = Static<typeof Configuration>
