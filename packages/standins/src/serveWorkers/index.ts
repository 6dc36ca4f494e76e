import type { AddressInfo } from 'node:net'
import type { FastifyInstance, FastifyReply } from 'fastify'
import { Type, type Static, type TSchema } from '@sinclair/typebox'
import {
  CheckpointRequest, HeartbeatRequest, OpenSessionRequest, StartRequest, StopRequest, ThrottleRequest, type Machine
} from '@gypsumspring/adapters'
import type { Outcome, Resources } from '@gypsumspring/protocol'
import { createApp } from '../_lib/createApp.ts'
import { FaultUpdate, ServiceFaults } from '../_lib/ServiceFaults.ts'
import { sendOutcome } from '../_lib/sendOutcome.ts'
import { callControl } from '../callControl/index.ts'
import { MemoryWorker } from '../memoryWorker/index.ts'
import { AttemptRecorder, type AttemptRecords } from './AttemptRecorder.ts'

interface WorkersServerOptions {
  port?: number
  /** Base URL of the platform stand-in to register the workers with. Default: none. */
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

interface HostedWorker {
  machine: Machine
  worker: MemoryWorker
  faults: ServiceFaults
}

const WorkerFaultUpdate = Type.Composite([
  FaultUpdate, Type.Object({ failsEverything: Type.Optional(Type.Boolean()) })
], { additionalProperties: false })

const GateOpening = Type.Object({ gate: Type.String({ minLength: 1 }) }, { additionalProperties: false })

/** Similar to a worker of the Arquivo deployment; docs/design.md, section 1.5. */
const DEFAULT_CAPACITY: Resources = { cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0 }

/**
 * Starts an HTTP server on loopback that stands in for a number of workers, under `/workers/<id>/...`, and registers
 * them with the platform stand-in. docs/adapters.md describes the HTTP API.
 *
 * @param options - Port (default 0, which picks a free one), platform (none), number of workers (30), id prefix
 * (`worker-`), failure domain (`domain-a`), workers per rack (8) and capacity of each worker (16 cores, 32 GiB).
 * @returns The address, the in-memory workers, their records and `close`. Rejects when the port is in use or the
 * platform stand-in can't be reached.
 *
 * @example
 * const { address } = await serveWorkers({ count: 2, platformUrl: platform.url })
 */
export async function serveWorkers (options: WorkersServerOptions = {}): Promise<WorkersServer> {
  const recorder = new AttemptRecorder()
  const hosted = new Map<string, HostedWorker>()
  const app = createApp()
  addWorkerRoutes(app, hosted)
  addControlRoutes(app, hosted, recorder, options.platformUrl)
  await app.listen({ port: options.port ?? 0, host: '127.0.0.1' })
  const address = `127.0.0.1:${(app.server.address() as AddressInfo).port}`
  for (let index = 0; index < (options.count ?? 30); index++) {
    const machine = createMachine(index, address, options)
    recorder.addWorker(machine.id, machine.capacity!)
    const worker = new MemoryWorker(machine.id, machine.capacity!, recorder.observe)
    hosted.set(machine.id, { machine, worker, faults: new ServiceFaults(worker.faults) })
  }
  await registerMachines(options.platformUrl, [...hosted.values()])
  return {
    url: `http://${address}`,
    address,
    workers: new Map([...hosted].map(([id, { worker }]) => [id, worker])),
    records: () => recorder.records,
    close: () => app.close()
  }
}

function createMachine (index: number, address: string, options: WorkersServerOptions): Machine {
  const failureDomain = options.failureDomain ?? 'domain-a'
  return {
    id: `${options.idPrefix ?? 'worker-'}${index}`,
    kind: 'worker',
    failureDomain,
    rack: `${failureDomain}-rack-${Math.floor(index / (options.rackSize ?? 8))}`,
    address,
    state: 'live',
    capacity: options.capacity ?? DEFAULT_CAPACITY
  }
}

async function registerMachines (platformUrl: string | undefined, hosted: HostedWorker[]): Promise<void> {
  if (platformUrl === undefined) return
  await callControl(platformUrl, 'machines', { machines: hosted.map(({ machine }) => machine) })
}

function addWorkerRoutes (app: FastifyInstance, hosted: Map<string, HostedWorker>): void {
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
  hosted: Map<string, HostedWorker>, id: string, reply: FastifyReply,
  run: (worker: MemoryWorker) => Promise<Outcome<unknown>>
): Promise<FastifyReply> {
  const found = hosted.get(id)
  if (found === undefined) {
    return reply.code(404).send({ certainty: 'not-done', reason: 'not-found', message: `no worker ${id}` })
  }
  if (found.faults.state.hang) {
    reply.hijack()
    return reply
  }
  return sendOutcome(reply, await run(found.worker), (value) => value ?? {})
}

function addControlRoutes (
  app: FastifyInstance, hosted: Map<string, HostedWorker>, recorder: AttemptRecorder, platformUrl: string | undefined
): void {
  app.get('/control/workers', async () => [...hosted.values()].map(({ machine, worker, faults }) => ({
    id: machine.id,
    state: machine.state,
    failsEverything: worker.failsEverything,
    faults: faults.state,
    running: worker.running.map(({ task, attempt }) => ({ task, attempt }))
  })))
  app.get('/control/records', async () => recorder.records)
  app.post('/control/records/clear', async () => {
    recorder.clear()
    return {}
  })
  const addWorkerCommand = (
    path: string, run: (hostedWorker: HostedWorker, body: unknown) => void | Promise<void>, body?: TSchema
  ) => {
    app.post<{ Params: { id: string } }>(`/control/workers/:id/${path}`, {
      schema: body === undefined ? {} : { body }
    }, async (request, reply) => {
      const { id } = request.params
      const selected = id === 'all' ? [...hosted.values()] : [...hosted.values()].filter(({ machine }) => machine.id === id)
      if (selected.length === 0) return reply.code(404).send({ message: `no worker ${id}` })
      for (const hostedWorker of selected) await run(hostedWorker, request.body)
      return {}
    })
  }
  addWorkerCommand('faults', ({ worker, faults }, body) => {
    const { failsEverything, ...faultUpdate } = body as Static<typeof WorkerFaultUpdate>
    if (failsEverything !== undefined) worker.failsEverything = failsEverything
    faults.set(faultUpdate)
  }, WorkerFaultUpdate)
  addWorkerCommand('open-gate', ({ worker }, body) => worker.openGate((body as Static<typeof GateOpening>).gate), GateOpening)
  // A failed VM would accept no connections. As all workers share one port, its requests get no response instead.
  addWorkerCommand('fail', ({ worker, faults }) => {
    worker.fail()
    faults.set({ hang: true })
  })
  addWorkerCommand('recover', ({ worker, faults }) => {
    worker.recover()
    faults.clear()
  })
  addWorkerCommand('leave', async (hostedWorker) => {
    hostedWorker.machine.state = 'leaving'
    await registerMachines(platformUrl, [hostedWorker])
  })
}
