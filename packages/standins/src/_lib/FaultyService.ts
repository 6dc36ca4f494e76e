import type { FastifyReply, FastifyRequest } from 'fastify'
import { Type, type Static } from '@sinclair/typebox'
import type { FaultSwitch } from '../faults/index.ts'

/** Faults that a control call can set; those not named stay as they are. */
export const FaultCommand = Type.Object({
  down: Type.Optional(Type.Boolean()),
  delayMs: Type.Optional(Type.Number({ minimum: 0 })),
  loseAnswers: Type.Optional(Type.Number({ minimum: 0, maximum: 1 })),
  lagMs: Type.Optional(Type.Number({ minimum: 0 })),
  /** Requests are accepted and never answered, and have no effect. */
  hang: Type.Optional(Type.Boolean())
}, { additionalProperties: false })
export type FaultCommand = Static<typeof FaultCommand>

/** The faults of one in-memory service, with those that exist only on a network. */
export class FaultyService {
  readonly #faults: FaultSwitch
  #hang = false

  constructor (faults: FaultSwitch) {
    this.#faults = faults
  }

  get state (): Required<FaultCommand> {
    return { ...this.#faults.settings, hang: this.#hang }
  }

  set ({ hang, ...faults }: FaultCommand): void {
    this.#faults.set(faults)
    if (hang !== undefined) this.#hang = hang
  }

  clear (): void {
    this.#faults.clear()
    this.#hang = false
  }

  /** Leaves a request without an answer while the fault `hang` is set; a hook to run before its handler. */
  readonly hold = async (_request: FastifyRequest, reply: FastifyReply): Promise<unknown> => {
    if (!this.#hang) return undefined
    reply.hijack()
    return reply
  }
}
