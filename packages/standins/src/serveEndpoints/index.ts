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
  /** Initial behaviour of all runners. */
  behaviour?: Partial<RunnerBehaviour>
}

export interface EndpointsServer {
  /** Base URL of the control API. */
  url: string
  runners: StandInRunner[]
  /** For each `x-request-id`, the id of the runner of each run. */
  runnersByRequestId: Map<string, string[]>
  close (): Promise<void>
}

const BehaviourUpdate = Type.Partial(RunnerBehaviour, { additionalProperties: false })

/**
 * Starts stand-in runners on loopback, each on its own port, and a control API for all of them.
 *
 * @param options - Control port (default 0, which picks a free one), number of runners (30), id prefix (`runner-`) and
 * behaviour (responds at once, has 8 slots and does not enforce them).
 * @returns The URL of the control API, the runners, the runs by request id and `close`. Rejects when the control port
 * is in use.
 *
 * @example
 * const { runners } = await serveEndpoints({ count: 3, behaviour: { serviceMs: 20 } })
 */
export async function serveEndpoints (options: EndpointsServerOptions = {}): Promise<EndpointsServer> {
  const runnersByRequestId = new Map<string, string[]>()
  const observe = (runner: string, requestId: string | undefined) => {
    if (requestId === undefined) return
    const runs = runnersByRequestId.get(requestId)
    if (runs === undefined) runnersByRequestId.set(requestId, [runner])
    else runs.push(runner)
  }
  const runners = Array.from({ length: options.count ?? 30 }, (_, index) => {
    return new StandInRunner(`${options.idPrefix ?? 'runner-'}${index}`, observe)
  })
  for (const runner of runners) {
    await runner.listen()
    await runner.updateBehaviour(options.behaviour ?? {})
  }

  const app = createApp()
  app.get('/control/runners', async () => runners.map(({ id, address, behaviour, records }) => {
    return { id, address, behaviour, records }
  }))
  app.get('/control/requests', async () => {
    const repeated = [...runnersByRequestId].filter(([, runs]) => runs.length > 1)
    return { ids: runnersByRequestId.size, repeated: Object.fromEntries(repeated) }
  })
  app.get<{ Params: { id: string } }>('/control/requests/:id', async ({ params }) => {
    return { runs: runnersByRequestId.get(params.id) ?? [] }
  })
  app.post<{ Params: { id: string }, Body: Static<typeof BehaviourUpdate> }>('/control/runners/:id/behaviour', {
    schema: { body: BehaviourUpdate }
  }, async ({ params, body }, reply) => {
    const selected = params.id === 'all' ? runners : runners.filter(({ id }) => id === params.id)
    if (selected.length === 0) return reply.code(404).send({ message: `no runner ${params.id}` })
    await Promise.all(selected.map((runner) => runner.updateBehaviour(body)))
    return {}
  })
  app.post('/control/reset', async () => {
    runnersByRequestId.clear()
    await Promise.all(runners.map((runner) => runner.reset()))
    return {}
  })
  await app.listen({ port: options.port ?? 0, host: '127.0.0.1' })
  return {
    url: `http://127.0.0.1:${(app.server.address() as AddressInfo).port}`,
    runners,
    runnersByRequestId,
    close: async () => { await Promise.all([app.close(), ...runners.map((runner) => runner.close())]) }
  }
}
