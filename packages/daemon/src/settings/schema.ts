import { Type, type Static } from '@sinclair/typebox'

const Port = Type.Integer({ minimum: 0, maximum: 65535 })
const Milliseconds = (fallback: number, description: string) =>
  Type.Integer({ minimum: 1, maximum: 86_400_000, default: fallback, description: `${description}, in ms` })

/** Settings of the daemon. Flag and environment names are derived from the field names. */
export const Settings = Type.Object({
  role: Type.Union([Type.Literal('entry'), Type.Literal('scheduler')], { description: 'what this process does: entry or scheduler' }),
  id: Type.String({ pattern: '^[a-z0-9][a-z0-9.-]{0,62}$', description: 'name of this process, unique in the cell' }),
  failureDomain: Type.String({ pattern: '^[a-z0-9][a-z0-9-]{0,62}$', description: 'failure domain of this VM' }),
  host: Type.String({ default: '127.0.0.1', description: 'IP address to listen on' }),
  rpcPort: Type.Intersect([Port], { default: 0, description: 'port for other gypsumspring processes; 0 picks a free one' }),
  callerPort: Type.Intersect([Port], { default: 0, description: 'port for callers (entry only)' }),
  operatorPort: Type.Intersect([Port], { default: 0, description: 'port for operators, health and metrics' }),
  platformUrl: Type.String({ pattern: '^https?://', description: 'base URL of the platform: table service, object store, list of VMs' }),
  logLevel: Type.Union(
    [Type.Literal('debug'), Type.Literal('info'), Type.Literal('warn'), Type.Literal('error')],
    { default: 'info', description: 'least severe level that is logged: debug, info, warn or error' }),
  shutdownMs: Milliseconds(35_000, 'longest graceful shutdown; above the longest request deadline'),
  shardLeaseMs: Milliseconds(10_000, 'D: lease of a shard or a slot allocator'),
  taskLeaseMs: Milliseconds(30_000, 'L: a task whose lease is not renewed for this long is stopped by its worker'),
  runHorizonMs: Milliseconds(1_800_000, 'H: how long running tasks and slot tokens outlive the last contact with the store'),
  sessionTtlMs: Milliseconds(10_000, 'a worker rejects starts in a session that was not renewed for this long'),
  heartbeatMs: Milliseconds(5_000, 'time between heartbeats to a worker'),
  flushMs: Milliseconds(100, 'shortest time between two journal writes'),
  configPollMs: Milliseconds(1_000, 'time between reads of the configuration row'),
  exchangeMs: Milliseconds(1_000, 'time between exchanges with random peers'),
  memberTimeoutMs: Milliseconds(10_000, 'a process not heard of for this long is taken for dead'),
  peerPorts: Type.String({
    pattern: '^[0-9]{1,5}(,[0-9]{1,5})*$',
    default: '7101,7102',
    description: 'RPC ports of the processes on each entry VM, separated by commas'
  }),
  inventoryMs: Milliseconds(2_000, 'time between reads of the list of VMs'),
  slotReportMs: Milliseconds(50, 'time between slot reports while requests wait'),
  storeTimeoutMs: Milliseconds(1_000, 'longest wait for the table service or the object store'),
  workersPerShard: Type.Integer({
    minimum: 0, maximum: 100_000, default: 0, description: 'most workers of a shard; 0 makes one shard per failure domain'
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
