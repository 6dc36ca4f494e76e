import { Type, type Static } from '@sinclair/typebox'

const Port = Type.Integer({ minimum: 0, maximum: 65535 })
const Milliseconds = (fallback: number, description: string) =>
  Type.Integer({ minimum: 1, maximum: 86_400_000, default: fallback, description: `${description}, in ms` })

/** Settings of the daemon. Flag and environment names are derived from the field names. */
export const Settings = Type.Object({
  role: Type.Union([Type.Literal('entry'), Type.Literal('scheduler')], { description: 'role of this process: entry or scheduler' }),
  id: Type.String({ pattern: '^[a-z0-9][a-z0-9.-]{0,62}$', description: 'name of this process, unique in the cell' }),
  failureDomain: Type.String({ pattern: '^[a-z0-9][a-z0-9-]{0,62}$', description: 'failure domain of this VM' }),
  host: Type.String({ default: '127.0.0.1', description: 'IP address to listen on' }),
  rpcPort: Type.Intersect([Port], { default: 0, description: 'port for RPC from other gypsumspring processes; 0 picks a free one' }),
  callerPort: Type.Intersect([Port], { default: 0, description: 'port for callers (entry only)' }),
  operatorPort: Type.Intersect([Port], { default: 0, description: 'port for the operator API, health checks and metrics' }),
  platformUrl: Type.String({ pattern: '^https?://', description: 'base URL of the platform: table service, object store and inventory of VMs' }),
  logLevel: Type.Union(
    [Type.Literal('debug'), Type.Literal('info'), Type.Literal('warn'), Type.Literal('error')],
    { default: 'info', description: 'minimum level that is logged: debug, info, warn or error' }),
  shutdownMs: Milliseconds(35_000, 'timeout of a graceful shutdown; longer than the longest request deadline'),
  shardLeaseMs: Milliseconds(10_000, 'duration of the lease of a shard or a slot allocator (D)'),
  taskLeaseMs: Milliseconds(30_000, 'time without a lease renewal after which a worker stops a task (L)'),
  runHorizonMs: Milliseconds(1_800_000, 'time that running tasks and slot tokens survive after the last contact with the store (H)'),
  sessionTtlMs: Milliseconds(10_000, 'time without a session renewal after which a worker rejects starts'),
  heartbeatMs: Milliseconds(5_000, 'interval between heartbeats to a worker'),
  flushMs: Milliseconds(100, 'minimum interval between two journal writes'),
  configPollMs: Milliseconds(1_000, 'interval between reads of the configuration row'),
  exchangeMs: Milliseconds(1_000, 'interval between gossip exchanges with random peers'),
  memberTimeoutMs: Milliseconds(10_000, 'time without news of a process after which it is considered dead'),
  peerPorts: Type.String({
    pattern: '^[0-9]{1,5}(,[0-9]{1,5})*$',
    default: '7101,7102',
    description: 'RPC ports of the processes on each entry VM, separated by commas'
  }),
  inventoryMs: Milliseconds(2_000, 'interval between reads of the inventory of VMs'),
  slotReportMs: Milliseconds(50, 'interval between slot reports while requests wait'),
  storeTimeoutMs: Milliseconds(1_000, 'timeout of calls to the table service and the object store; for reads, between two parts of the answer'),
  workersPerShard: Type.Integer({
    minimum: 0, maximum: 100_000, default: 0, description: 'maximum number of workers per shard; 0 makes one shard per failure domain'
  })
}, { additionalProperties: false })
export type Settings = Static<typeof Settings>

export type SettingName = keyof Settings

export const ENVIRONMENT_PREFIX = 'GYPSUMSPRING_'

/** Name of a setting as a flag, without the dashes. */
export function flagName (name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)
}

/** Name of a setting as an environment variable. */
export function environmentName (name: string): string {
  return ENVIRONMENT_PREFIX + name.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()
}
