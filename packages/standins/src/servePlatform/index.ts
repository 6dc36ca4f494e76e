import type { AddressInfo } from 'node:net'
import type { FastifyInstance, FastifyReply } from 'fastify'
import { Type, type Static } from '@sinclair/typebox'
import { MachineRecord, TransactRequest } from '@gypsumspring/adapters'
import { notDone, type Outcome } from '@gypsumspring/protocol'
import { createApp } from '../_lib/createApp.ts'
import { FaultCommand, FaultyService } from '../_lib/FaultyService.ts'
import { RateLimit } from '../_lib/RateLimit.ts'
import { sendOutcome } from '../_lib/sendOutcome.ts'
import { MemoryInventory } from '../memoryInventory/index.ts'
import { MemoryObjectStore } from '../memoryObjectStore/index.ts'
import { MemoryTable } from '../memoryTable/index.ts'

/** Writes and reads per second of the platform's stores, as in docs/design.md. */
const WRITES_PER_SECOND = 400
const READS_PER_SECOND = 2_000

interface PlatformServerOptions {
  port?: number
  /** Transactions and object writes per second; Infinity for no limit. Default: 400. */
  writesPerSecond?: number
  /** Reads and scans of table and object store per second; Infinity for no limit. Default: 2,000. */
  readsPerSecond?: number
}

export interface PlatformServer {
  url: string
  table: MemoryTable
  objects: MemoryObjectStore
  inventory: MemoryInventory
  close (): Promise<void>
}

const KeyQuery = Type.Object({ key: Type.String() })
const PrefixQuery = Type.Object({ prefix: Type.String() })
const Limits = Type.Object({
  writesPerSecond: Type.Optional(Type.Number({ exclusiveMinimum: 0 })),
  readsPerSecond: Type.Optional(Type.Number({ exclusiveMinimum: 0 }))
}, { additionalProperties: false })
const Machines = Type.Object({ machines: Type.Array(MachineRecord) })

/**
 * Serves the stand-in of the platform (table service, object store, list of VMs) on loopback; docs/adapters.md has the
 * HTTP API.
 *
 * @param options.port - Port; 0 picks a free one. Default: 0.
 * @returns The base URL, the services in memory and `close`. Rejects when the port is taken.
 *
 * @example
 * const platform = await servePlatform()
 * await fetch(`${platform.url}/v1/machines`)
 */
export async function servePlatform (options: PlatformServerOptions = {}): Promise<PlatformServer> {
  const table = new MemoryTable()
  const objects = new MemoryObjectStore()
  const inventory = new MemoryInventory()
  const limits = {
    writes: new RateLimit(options.writesPerSecond ?? WRITES_PER_SECOND),
    reads: new RateLimit(options.readsPerSecond ?? READS_PER_SECOND)
  }
  const counts = { writes: 0, reads: 0, refusedWrites: 0, refusedReads: 0, lists: 0 }
  const services = {
    table: new FaultyService(table.faults),
    objects: new FaultyService(objects.faults),
    inventory: new FaultyService(inventory.faults)
  }
  const limit = <Value> (kind: 'writes' | 'reads', call: () => Promise<Outcome<Value>>): Promise<Outcome<Value>> => {
    const retryAfterMs = limits[kind].take()
    if (retryAfterMs > 0) {
      counts[kind === 'writes' ? 'refusedWrites' : 'refusedReads']++
      return Promise.resolve(notDone('overloaded', `more than ${limits[kind].perSecond} ${kind}/s`, { retryAfterMs }))
    }
    counts[kind]++
    return call()
  }

  const app = createApp()
  app.post<{ Body: TransactRequest }>('/v1/table/transact', {
    schema: { body: TransactRequest }, preHandler: services.table.hold
  }, async ({ body }, reply) => sendOutcome(reply, await limit('writes', () => table.transact(body))))
  app.get<{ Querystring: Static<typeof KeyQuery> }>('/v1/table/row', {
    schema: { querystring: KeyQuery }, preHandler: services.table.hold
  }, async ({ query }, reply) => {
    return sendOutcome(reply, await limit('reads', () => table.read(query.key)), (row) => ({ row: row ?? null }))
  })
  app.get<{ Querystring: Static<typeof PrefixQuery> }>('/v1/table/rows', {
    schema: { querystring: PrefixQuery }, preHandler: services.table.hold
  }, async ({ query }, reply) => {
    return sendOutcome(reply, await limit('reads', () => table.scan(query.prefix)), (rows) => ({ rows }))
  })
  addObjectRoutes(app, objects, services.objects, limit)
  app.get('/v1/machines', { preHandler: services.inventory.hold }, async (_request, reply) => {
    counts.lists++
    return sendOutcome(reply, await inventory.list(), (machines) => ({ machines }))
  })
  addControlRoutes(app, { services, limits, counts, inventory })
  await app.listen({ port: options.port ?? 0, host: '127.0.0.1' })
  const url = `http://127.0.0.1:${(app.server.address() as AddressInfo).port}`
  return { url, table, objects, inventory, close: () => app.close() }
}

type Limit = <Value>(kind: 'writes' | 'reads', call: () => Promise<Outcome<Value>>) => Promise<Outcome<Value>>

function addObjectRoutes (
  app: FastifyInstance, objects: MemoryObjectStore, service: FaultyService, limit: Limit
): void {
  const path = '/v1/objects/:key'
  const preHandler = service.hold
  const done = (reply: FastifyReply) => (outcome: Outcome<void>) => sendOutcome(reply, outcome, () => ({}))
  app.put<{ Params: { key: string }, Body?: Uint8Array }>(path, { preHandler }, async ({ params, body }, reply) => {
    return done(reply)(await limit('writes', () => objects.put(params.key, body ?? new Uint8Array())))
  })
  app.delete<{ Params: { key: string } }>(path, { preHandler }, async ({ params }, reply) => {
    return done(reply)(await limit('writes', () => objects.remove(params.key)))
  })
  app.get<{ Params: { key: string } }>(path, { preHandler }, async ({ params }, reply) => {
    const outcome = await limit('reads', () => objects.get(params.key))
    const found = outcome.chain((bytes) => {
      return bytes === undefined ? notDone('not-found', `no object ${params.key}`) : outcome
    })
    return sendOutcome(reply, found, (bytes) => {
      reply.type('application/octet-stream')
      return Buffer.from(bytes!)
    })
  })
}

interface ControlParts {
  services: Record<'table' | 'objects' | 'inventory', FaultyService>
  limits: { writes: RateLimit, reads: RateLimit }
  counts: Record<string, number>
  inventory: MemoryInventory
}

function addControlRoutes (app: FastifyInstance, { services, limits, counts, inventory }: ControlParts): void {
  const all = Object.values(services)
  app.get('/control/state', async () => ({
    counts,
    limits: { writesPerSecond: limits.writes.perSecond, readsPerSecond: limits.reads.perSecond },
    faults: Object.fromEntries(Object.entries(services).map(([name, service]) => [name, service.state]))
  }))
  app.post<{ Params: { service: string }, Body: FaultCommand }>('/control/faults/:service', {
    schema: { body: FaultCommand }
  }, async ({ params, body }, reply) => {
    const named = params.service === 'all' ? all : all.filter((service) => service === services[params.service as 'table'])
    if (named.length === 0) return reply.code(404).send({ message: `no service ${params.service}` })
    for (const service of named) service.set(body)
    return {}
  })
  app.post('/control/clear', async () => {
    for (const service of all) service.clear()
    return {}
  })
  app.post<{ Body: Static<typeof Limits> }>('/control/limits', { schema: { body: Limits } }, async ({ body }) => {
    if (body.writesPerSecond !== undefined) limits.writes.perSecond = body.writesPerSecond
    if (body.readsPerSecond !== undefined) limits.reads.perSecond = body.readsPerSecond
    return {}
  })
  app.post<{ Body: Static<typeof Machines> }>('/control/machines', { schema: { body: Machines } }, async ({ body }) => {
    inventory.put(...body.machines)
    return {}
  })
  app.delete<{ Params: { id: string } }>('/control/machines/:id', async ({ params }) => {
    inventory.remove(params.id)
    return {}
  })
}
