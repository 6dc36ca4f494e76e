import type { FastifyReply, FastifyRequest } from 'fastify'
import { Type, type Static } from '@sinclair/typebox'
import type { FaultInjector } from '../faults/index.ts'

/** Body of a control request that sets faults. Omitted fields keep their value. */
export const FaultUpdate = Type.Object({
  down: Type.Optional(Type.Boolean()),
  delayMs: Type.Optional(Type.Number({ minimum: 0 })),
  loseAnswers: Type.Optional(Type.Number({ minimum: 0, maximum: 1 })),
  lagMs: Type.Optional(Type.Number({ minimum: 0 })),
  /** Requests are accepted but have no effect and never get a response. */
  hang: Type.Optional(Type.Boolean())
}, { additionalProperties: false })
export type FaultUpdate = Static<typeof FaultUpdate>

/** Faults of one service served over HTTP: those of its in-memory implementation and those of the network. */
export class ServiceFaults {
  readonly #injector: FaultInjector
  #hang = false

  constructor (faults: FaultInjector) {
    this.#injector = faults
  }

  get state (): Required<FaultUpdate> {
    return { ...this.#injector.settings, hang: this.#hang }
  }

  set ({ hang, ...faults }: FaultUpdate): void {
    this.#injector.set(faults)
    if (hang !== undefined) this.#hang = hang
  }

  clear (): void {
    this.#injector.clear()
    this.#hang = false
  }

  /** Fastify `preHandler` hook that leaves a request without a response while the fault `hang` is set. */
  readonly hangRequest = async (_request: FastifyRequest, reply: FastifyReply): Promise<unknown> => {
    if (!this.#hang) return undefined
    reply.hijack()
    return reply
  }
}
