import type { AddressInfo } from 'node:net'
import { Type, type Static } from '@sinclair/typebox'
import { createApp } from '../_lib/createApp.ts'
import { RunnerBehaviour, StandInRunner } from './StandInRunner.ts'

interface EndpointsServerOptions {
  /** Port of the control API. */
  port?: number
  /** Number of runners. */
  count?: number
  idPrefix?: string
  /** Behaviour of all runners at first. */
  behaviour?: Partial<RunnerBehaviour>
}

export interface EndpointsServer {
  /** Base URL of the control API. */
  url: string
  runners: StandInRunner[]
  /** How often each `x-request-id` was run, and by which runners. */
  runsById: Map<string, string[]>
  close (): Promise<void>
}

const Command = Type.Partial(RunnerBehaviour, { additionalProperties: false })

/**
 * Serves many stand-in runners on loopback, each on a port of its own, and their control API.
 *
 * @param options - Control port (default 0), number of runners (30), id prefix (`runner-`) and behaviour (answers at
 * once, 8 slots that are only recorded).
 * @returns The control URL, the runners, their records and `close`. Rejects when the control port is taken.
 *
 * @example
 * const { runners } = await serveEndpoints({ count: 3, behaviour: { serviceMs: 20 } })
 */
export async function serveEndpoints (options: EndpointsServerOptions = {}): Promise<EndpointsServer> {
  const runsById = new Map<string, string[]>()
  const observe = (runner: string, requestId: string | undefined) => {
    if (requestId === undefined) return
    const runs = runsById.get(requestId)
    if (runs === undefined) runsById.set(requestId, [runner])
    else runs.push(runner)
  }
  const runners = Array.from({ length: options.count ?? 30 }, (_, index) => {
    return new StandInRunner(`${options.idPrefix ?? 'runner-'}${index}`, observe)
  })
  for (const runner of runners) {
    await runner.listen()
    await runner.behave(options.behaviour ?? {})
  }

  const app = createApp()
  app.get('/control/runners', async () => runners.map(({ id, address, behaviour, records }) => {
    return { id, address, behaviour, records }
  }))
  app.get('/control/requests', async () => {
    const repeated = [...runsById].filter(([, runs]) => runs.length > 1)
    return { ids: runsById.size, repeated: Object.fromEntries(repeated) }
  })
  app.get<{ Params: { id: string } }>('/control/requests/:id', async ({ params }) => {
    return { runs: runsById.get(params.id) ?? [] }
  })
  app.post<{ Params: { id: string }, Body: Static<typeof Command> }>('/control/runners/:id/behaviour', {
    schema: { body: Command }
  }, async ({ params, body }, reply) => {
    const named = params.id === 'all' ? runners : runners.filter(({ id }) => id === params.id)
    if (named.length === 0) return reply.code(404).send({ message: `no runner ${params.id}` })
    await Promise.all(named.map((runner) => runner.behave(body)))
    return {}
  })
  app.post('/control/reset', async () => {
    runsById.clear()
    await Promise.all(runners.map((runner) => runner.reset()))
    return {}
  })
  await app.listen({ port: options.port ?? 0, host: '127.0.0.1' })
  return {
    url: `http://127.0.0.1:${(app.server.address() as AddressInfo).port}`,
    runners,
    runsById,
    close: async () => { await Promise.all([app.close(), ...runners.map((runner) => runner.close())]) }
  }
}
