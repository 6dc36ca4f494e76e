import type { AddressInfo } from 'node:net'
import type { FastifyInstance, FastifyReply } from 'fastify'
import { Type, type Static, type TSchema } from '@sinclair/typebox'
import {
  CheckpointRequest, HeartbeatRequest, OpenSessionRequest, StartRequest, StopRequest, ThrottleRequest, type Machine
} from '@gypsumspring/adapters'
import type { Outcome, Resources } from '@gypsumspring/protocol'
import { createApp } from '../_lib/createApp.ts'
import { FaultCommand, FaultyService } from '../_lib/FaultyService.ts'
import { sendOutcome } from '../_lib/sendOutcome.ts'
import { callControl } from '../callControl/index.ts'
import { MemoryWorker } from '../memoryWorker/index.ts'
import { AttemptRecorder, type AttemptRecords } from './AttemptRecorder.ts'

interface WorkersServerOptions {
  port?: number
  /** Base URL of the platform stand-in whose list gets the workers. Default: none. */
  platformUrl?: string
  count?: number
  idPrefix?: string
  failureDomain?: string
  rackSize?: number
  capacity?: Resources
}

export interface WorkersServer {
  url: string
  /** IP address and port, the same for all workers. */
  address: string
  workers: Map<string, MemoryWorker>
  records (): AttemptRecords
  close (): Promise<void>
}

interface Hosted {
  machine: Machine
  worker: MemoryWorker
  service: FaultyService
}

const WorkerCommand = Type.Composite([
  FaultCommand, Type.Object({ failsEverything: Type.Optional(Type.Boolean()) })
], { additionalProperties: false })

/** About the size of a worker at Arquivo; docs/design.md, section 1.5. */
const CAPACITY: Resources = { cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0 }

/**
 * Serves many stand-in workers in one process on loopback, under `/workers/<id>/...`, and puts them into the list of
 * the platform stand-in; docs/adapters.md has the HTTP API.
 *
 * @param options - Port (default 0), platform (none), number of workers (30), id prefix (`worker-`), failure domain
 * (`domain-a`), workers to a rack (8) and capacity of each (16 cores, 32 GiB).
 * @returns The address, the workers in memory, their records and `close`. Rejects when the port is taken or the
 * platform does not answer.
 *
 * @example
 * const { address } = await serveWorkers({ count: 2, platformUrl: platform.url })
 */
export async function serveWorkers (options: WorkersServerOptions = {}): Promise<WorkersServer> {
  const recorder = new AttemptRecorder()
  const hosted = new Map<string, Hosted>()
  const app = createApp()
  addWorkerRoutes(app, hosted)
  addControlRoutes(app, hosted, recorder, options.platformUrl)
  await app.listen({ port: options.port ?? 0, host: '127.0.0.1' })
  const address = `127.0.0.1:${(app.server.address() as AddressInfo).port}`
  for (let index = 0; index < (options.count ?? 30); index++) {
    const machine = describeMachine(index, address, options)
    recorder.addWorker(machine.id, machine.capacity!)
    const worker = new MemoryWorker(machine.id, machine.capacity!, recorder.observe)
    hosted.set(machine.id, { machine, worker, service: new FaultyService(worker.faults) })
  }
  await publish(options.platformUrl, [...hosted.values()])
  return {
    url: `http://${address}`,
    address,
    workers: new Map([...hosted].map(([id, { worker }]) => [id, worker])),
    records: () => recorder.records,
    close: () => app.close()
  }
}

function describeMachine (index: number, address: string, options: WorkersServerOptions): Machine {
  const failureDomain = options.failureDomain ?? 'domain-a'
  return {
    id: `${options.idPrefix ?? 'worker-'}${index}`,
    kind: 'worker',
    failureDomain,
    rack: `${failureDomain}-rack-${Math.floor(index / (options.rackSize ?? 8))}`,
    address,
    state: 'live',
    capacity: options.capacity ?? CAPACITY
  }
}

async function publish (platformUrl: string | undefined, hosted: Hosted[]): Promise<void> {
  if (platformUrl === undefined) return
  await callControl(platformUrl, 'machines', { machines: hosted.map(({ machine }) => machine) })
}

function addWorkerRoutes (app: FastifyInstance, hosted: Map<string, Hosted>): void {
  const post = <Schema extends TSchema> (
    call: string, schema: Schema, run: (worker: MemoryWorker, body: Static<Schema>) => Promise<Outcome<unknown>>
  ): void => {
    app.post<{ Params: { id: string }, Body: Static<Schema> }>(`/workers/:id/${call}`, {
      schema: { body: schema }
    }, async ({ params, body }, reply) => {
      return await withWorker(hosted, params.id, reply, (worker) => run(worker, body as Static<Schema>))
    })
  }
  post('session', OpenSessionRequest, (worker, body) => worker.openSession(body))
  post('heartbeat', HeartbeatRequest, (worker, { session, ...request }) => worker.heartbeat(session, request))
  post('start', StartRequest, (worker, { session, starts }) => worker.start(session, starts))
  post('stop', StopRequest, (worker, { session, ...request }) => worker.stop(session, request))
  post('checkpoint', CheckpointRequest, (worker, { session, ...request }) => worker.checkpoint(session, request))
  post('throttle', ThrottleRequest, (worker, { session, ...request }) => worker.throttle(session, request))
  app.get<{ Params: { id: string }, Querystring: { shard: string } }>('/workers/:id/inspect', {
    schema: { querystring: Type.Object({ shard: Type.String({ minLength: 1 }) }) }
  }, async ({ params, query }, reply) => {
    return await withWorker(hosted, params.id, reply, (worker) => worker.inspect(query.shard))
  })
}

async function withWorker (
  hosted: Map<string, Hosted>, id: string, reply: FastifyReply, run: (worker: MemoryWorker) => Promise<Outcome<unknown>>
): Promise<FastifyReply> {
  const found = hosted.get(id)
  if (found === undefined) {
    return reply.code(404).send({ certainty: 'not-done', reason: 'not-found', message: `no worker ${id}` })
  }
  if (found.service.state.hang) {
    reply.hijack()
    return reply
  }
  return sendOutcome(reply, await run(found.worker), (value) => value ?? {})
}

function addControlRoutes (
  app: FastifyInstance, hosted: Map<string, Hosted>, recorder: AttemptRecorder, platformUrl: string | undefined
): void {
  app.get('/control/workers', async () => [...hosted.values()].map(({ machine, worker, service }) => ({
    id: machine.id,
    state: machine.state,
    failsEverything: worker.failsEverything,
    faults: service.state,
    running: worker.running.map(({ task, attempt }) => ({ task, attempt }))
  })))
  app.get('/control/records', async () => recorder.records)
  app.post('/control/records/clear', async () => {
    recorder.clear()
    return {}
  })
  const command = (path: string, run: (found: Hosted, body: unknown) => void | Promise<void>, body?: TSchema) => {
    app.post<{ Params: { id: string } }>(`/control/workers/:id/${path}`, {
      schema: body === undefined ? {} : { body }
    }, async (request, reply) => {
      const { id } = request.params
      const found = id === 'all' ? [...hosted.values()] : [...hosted.values()].filter(({ machine }) => machine.id === id)
      if (found.length === 0) return reply.code(404).send({ message: `no worker ${id}` })
      for (const one of found) await run(one, request.body)
      return {}
    })
  }
  command('faults', ({ worker, service }, body) => {
    const { failsEverything, ...faults } = body as Static<typeof WorkerCommand>
    if (failsEverything !== undefined) worker.failsEverything = failsEverything
    service.set(faults)
  }, WorkerCommand)
  // A VM that failed accepts no connection; here its calls are never answered.
  command('fail', ({ worker, service }) => {
    worker.fail()
    service.set({ hang: true })
  })
  command('recover', ({ worker, service }) => {
    worker.recover()
    service.clear()
  })
  command('leave', async (found) => {
    found.machine.state = 'leaving'
    await publish(platformUrl, [found])
  })
}
