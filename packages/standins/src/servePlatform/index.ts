import type { AddressInfo } from 'node:net'
import type { FastifyInstance, FastifyReply } from 'fastify'
import { Type, type Static } from '@sinclair/typebox'
import { MachineRecord, TransactRequest } from '@gypsumspring/adapters'
import { notDone, type Outcome } from '@gypsumspring/protocol'
import { createApp } from '../_lib/createApp.ts'
import { FaultUpdate, ServiceFaults } from '../_lib/ServiceFaults.ts'
import { TokenBucket } from '../_lib/TokenBucket.ts'
import { sendOutcome } from '../_lib/sendOutcome.ts'
import { MemoryInventory } from '../memoryInventory/index.ts'
import { MemoryObjectStore } from '../memoryObjectStore/index.ts'
import { MemoryTable } from '../memoryTable/index.ts'

/** Throughput of the platform's stores in requests per second; docs/design.md. */
const WRITES_PER_SECOND = 400
const READS_PER_SECOND = 2_000

interface PlatformServerOptions {
  port?: number
  /** Maximum rate of transactions and object writes; Infinity for no limit. Default: 400. */
  writesPerSecond?: number
  /** Maximum rate of table reads, table scans and object reads; Infinity for no limit. Default: 2,000. */
  readsPerSecond?: number
}

export interface PlatformServer {
  /** Base URL. */
  url: string
  table: MemoryTable
  objects: MemoryObjectStore
  inventory: MemoryInventory
  close (): Promise<void>
}

const KeyQuery = Type.Object({ key: Type.String() })
const PrefixQuery = Type.Object({ prefix: Type.String() })
const RateLimitUpdate = Type.Object({
  writesPerSecond: Type.Optional(Type.Number({ exclusiveMinimum: 0 })),
  readsPerSecond: Type.Optional(Type.Number({ exclusiveMinimum: 0 }))
}, { additionalProperties: false })
const MachineList = Type.Object({ machines: Type.Array(MachineRecord) })

/**
 * Starts an HTTP server on loopback that stands in for the platform: table service, object store and VM inventory, plus
 * a control API to inject faults. docs/adapters.md describes the HTTP API.
 *
 * @param options - Port (default 0, which picks a free one) and rate limits.
 * @returns The base URL, the in-memory services and `close`. Rejects when the port is in use.
 *
 * @example
 * const platform = await servePlatform()
 * await fetch(`${platform.url}/v1/machines`)
 */
export async function servePlatform (options: PlatformServerOptions = {}): Promise<PlatformServer> {
  const table = new MemoryTable()
  const objects = new MemoryObjectStore()
  const inventory = new MemoryInventory()
  const rateLimits = {
    writes: new TokenBucket(options.writesPerSecond ?? WRITES_PER_SECOND),
    reads: new TokenBucket(options.readsPerSecond ?? READS_PER_SECOND)
  }
  const counts = { writes: 0, reads: 0, refusedWrites: 0, refusedReads: 0, lists: 0 }
  const serviceFaults = {
    table: new ServiceFaults(table.faults),
    objects: new ServiceFaults(objects.faults),
    inventory: new ServiceFaults(inventory.faults)
  }
  const withRateLimit = <Value> (kind: 'writes' | 'reads', call: () => Promise<Outcome<Value>>): Promise<Outcome<Value>> => {
    const retryAfterMs = rateLimits[kind].take()
    if (retryAfterMs > 0) {
      counts[kind === 'writes' ? 'refusedWrites' : 'refusedReads']++
      return Promise.resolve(notDone('overloaded', `more than ${rateLimits[kind].perSecond} ${kind}/s`, { retryAfterMs }))
    }
    counts[kind]++
    return call()
  }

  const app = createApp()
  app.post<{ Body: TransactRequest }>('/v1/table/transact', {
    schema: { body: TransactRequest }, preHandler: serviceFaults.table.hangRequest
  }, async ({ body }, reply) => sendOutcome(reply, await withRateLimit('writes', () => table.transact(body))))
  app.get<{ Querystring: Static<typeof KeyQuery> }>('/v1/table/row', {
    schema: { querystring: KeyQuery }, preHandler: serviceFaults.table.hangRequest
  }, async ({ query }, reply) => {
    return sendOutcome(reply, await withRateLimit('reads', () => table.read(query.key)), (row) => ({ row: row ?? null }))
  })
  app.get<{ Querystring: Static<typeof PrefixQuery> }>('/v1/table/rows', {
    schema: { querystring: PrefixQuery }, preHandler: serviceFaults.table.hangRequest
  }, async ({ query }, reply) => {
    return sendOutcome(reply, await withRateLimit('reads', () => table.scan(query.prefix)), (rows) => ({ rows }))
  })
  addObjectRoutes(app, objects, serviceFaults.objects, withRateLimit)
  app.get('/v1/machines', { preHandler: serviceFaults.inventory.hangRequest }, async (_request, reply) => {
    counts.lists++
    return sendOutcome(reply, await inventory.list(), (machines) => ({ machines }))
  })
  addControlRoutes(app, { serviceFaults, rateLimits, counts, inventory })
  await app.listen({ port: options.port ?? 0, host: '127.0.0.1' })
  const url = `http://127.0.0.1:${(app.server.address() as AddressInfo).port}`
  return { url, table, objects, inventory, close: () => app.close() }
}

/** Runs a call, or fails it as overloaded when its rate limit is exceeded. */
type WithRateLimit = <Value>(kind: 'writes' | 'reads', call: () => Promise<Outcome<Value>>) => Promise<Outcome<Value>>

function addObjectRoutes (
  app: FastifyInstance, objects: MemoryObjectStore, faults: ServiceFaults, withRateLimit: WithRateLimit
): void {
  const path = '/v1/objects/:key'
  const preHandler = faults.hangRequest
  const sendEmpty = (reply: FastifyReply) => (outcome: Outcome<void>) => sendOutcome(reply, outcome, () => ({}))
  app.put<{ Params: { key: string }, Body?: Uint8Array }>(path, { preHandler }, async ({ params, body }, reply) => {
    return sendEmpty(reply)(await withRateLimit('writes', () => objects.put(params.key, body ?? new Uint8Array())))
  })
  app.delete<{ Params: { key: string } }>(path, { preHandler }, async ({ params }, reply) => {
    return sendEmpty(reply)(await withRateLimit('writes', () => objects.remove(params.key)))
  })
  app.get<{ Params: { key: string } }>(path, { preHandler }, async ({ params }, reply) => {
    const outcome = await withRateLimit('reads', () => objects.get(params.key))
    const found = outcome.chain((bytes) => {
      return bytes === undefined ? notDone('not-found', `no object ${params.key}`) : outcome
    })
    return sendOutcome(reply, found, (bytes) => {
      reply.type('application/octet-stream')
      return Buffer.from(bytes!)
    })
  })
}

interface ControlDependencies {
  serviceFaults: Record<'table' | 'objects' | 'inventory', ServiceFaults>
  rateLimits: { writes: TokenBucket, reads: TokenBucket }
  counts: Record<string, number>
  inventory: MemoryInventory
}

function addControlRoutes (
  app: FastifyInstance, { serviceFaults, rateLimits, counts, inventory }: ControlDependencies
): void {
  const allFaults = Object.values(serviceFaults)
  app.get('/control/state', async () => ({
    counts,
    limits: { writesPerSecond: rateLimits.writes.perSecond, readsPerSecond: rateLimits.reads.perSecond },
    faults: Object.fromEntries(Object.entries(serviceFaults).map(([name, faults]) => [name, faults.state]))
  }))
  app.post<{ Params: { service: string }, Body: FaultUpdate }>('/control/faults/:service', {
    schema: { body: FaultUpdate }
  }, async ({ params, body }, reply) => {
    const named = serviceFaults[params.service as 'table']
    const selected = params.service === 'all' ? allFaults : allFaults.filter((faults) => faults === named)
    if (selected.length === 0) return reply.code(404).send({ message: `no service ${params.service}` })
    for (const faults of selected) faults.set(body)
    return {}
  })
  app.post('/control/clear', async () => {
    for (const faults of allFaults) faults.clear()
    return {}
  })
  app.post<{ Body: Static<typeof RateLimitUpdate> }>('/control/limits', { schema: { body: RateLimitUpdate } }, async ({ body }) => {
    if (body.writesPerSecond !== undefined) rateLimits.writes.perSecond = body.writesPerSecond
    if (body.readsPerSecond !== undefined) rateLimits.reads.perSecond = body.readsPerSecond
    return {}
  })
  app.post<{ Body: Static<typeof MachineList> }>('/control/machines', { schema: { body: MachineList } }, async ({ body }) => {
    inventory.put(...body.machines)
    return {}
  })
  app.delete<{ Params: { id: string } }>('/control/machines/:id', async ({ params }) => {
    inventory.remove(params.id)
    return {}
  })
}
