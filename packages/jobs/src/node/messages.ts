/** RPC methods between the nodes of a cell, with the schemas that validate their params and results. */
import { Type, type Static, type TSchema } from '@sinclair/typebox'
import { Instant } from '../instant/index.ts'
import { TakeoverPromise } from '../owner/CellMembers.ts'
import { OwnerRecord } from '../ownership/index.ts'
import { Job } from '../types.ts'

const Count = Type.Integer({ minimum: 0 })
const RowAddress = Type.Object({ table: Type.String(), key: Type.String() })
const Base64 = Type.String()

const Row = Type.Object({
  table: Type.String(),
  partition: Type.String(),
  key: Type.String(),
  version: Count,
  value: Type.Union([Base64, Type.Null()])
})

/** Schema of the answer to a relayed call: the result, or the failure that the relaying node received. */
const relayedResult = (result: TSchema) => Type.Union([
  Type.Object({ ok: result }),
  Type.Object({ failure: Type.Object({ certainty: Type.String(), reason: Type.String(), message: Type.String() }) })
])

export const CommitParams = Type.Object({
  partition: Type.String(),
  expected: Type.Array(Type.Object({ table: Type.String(), key: Type.String(), version: Count })),
  puts: Type.Array(Type.Object({ table: Type.String(), key: Type.String(), value: Base64 })),
  removes: Type.Array(RowAddress)
})

const Changes = Type.Object({ rows: Type.Array(Row), version: Count, nowMs: Type.Optional(Type.Number()) })

const JobStateName = Type.Union(['queued', 'running', 'completed', 'failed', 'cancelled'].map((state) =>
  Type.Literal(state)))

export const cellMethods = {
  /** Heartbeat of a follower to the owner; the answer shows that the owner is alive. */
  'cell.follow': {
    params: Type.Object({
      node: Type.String(),
      address: Type.String(),
      uptimeMs: Type.Number(),
      resigned: Type.Boolean(),
      /** Whether the follower reaches the store over its own connection. */
      hasStore: Type.Boolean(),
      /** How far its machine falls short of what an owner needs, from 0 (sufficient) to 1. */
      weakness: Type.Number(),
      promise: Type.Optional(TakeoverPromise)
    }),
    result: Type.Object({
      isOwner: Type.Boolean(),
      token: Count,
      /** Addresses of the nodes that can relay store calls. */
      peers: Type.Array(Type.String()),
      /** The owner's time. */
      time: Type.Optional(Instant),
      /** The owner's commits take so long that it needs promises to renew task leases. */
      needsPromise: Type.Optional(Type.Boolean())
    })
  },
  /**
   * Asks a node to make no more promises to the owner with a token, which was replaced. `promisedMs` is the remaining
   * duration of promises that it has made.
   */
  'cell.withholdPromises': {
    params: Type.Object({ token: Count }),
    result: Type.Object({ node: Type.String(), promisedMs: Type.Number({ minimum: 0 }) })
  },
  /** Notifies a follower that the owner has given the cell up; with `transfer`, the follower is the new owner. */
  'cell.ownershipEnded': {
    params: Type.Object({
      token: Count, transfer: Type.Union([Type.Object({ record: OwnerRecord, version: Count }), Type.Null()])
    }),
    result: Type.Object({})
  },
  /** Notifies the owner of a job that was stored; `taken` tells whether it has recovered the cell. */
  'cell.accept': { params: Type.Object({ job: Job }), result: Type.Object({ taken: Type.Boolean() }) },
  /** Notifies the owner of a cancellation that was stored. */
  'cell.cancel': { params: Type.Object({ id: Type.String() }), result: Type.Object({ taken: Type.Boolean() }) },
  /** Asks the owner for the state of a job; `known` is false while it has not recovered the cell. */
  'cell.show': {
    params: Type.Object({ id: Type.String() }),
    result: Type.Object({ known: Type.Boolean(), state: Type.Union([JobStateName, Type.Null()]) })
  },
  /**
   * Asks the owner to fence off the writes of a job that may still be on their way to the store. `stored` tells whether
   * the job is stored; null when that can't be told.
   */
  'cell.fence': {
    params: Type.Object({ id: Type.String() }),
    result: Type.Object({ stored: Type.Union([Type.Boolean(), Type.Null()]) })
  },
  /** Asks the owner how many jobs of a queue have not started; null when it can't tell. */
  'cell.pending': {
    params: Type.Object({ queue: Type.String() }), result: Type.Object({ pending: Type.Union([Count, Type.Null()]) })
  },
  /** Asks a follower to call the policy service. */
  'cell.advise': {
    params: Type.Object({
      job: Type.String(), occurrence: Count, step: Count, workers: Type.Array(Type.String()), timeoutMs: Type.Number()
    }),
    result: relayedResult(Type.Object({ tickets: Type.Array(Type.Tuple([Type.String(), Type.String()])) }))
  },
  /** The `cell.store` methods make a store call for a node whose own connection to the store fails. */
  'cell.store.commit': {
    params: CommitParams,
    result: relayedResult(Type.Union([
      Type.Object({ kind: Type.Literal('committed'), version: Count, nowMs: Type.Optional(Type.Number()) }),
      Type.Object({ kind: Type.Literal('conflict'), rows: Type.Array(Row), nowMs: Type.Optional(Type.Number()) })
    ]))
  },
  'cell.store.read': {
    params: Type.Object({ table: Type.String(), partition: Type.String() }), result: relayedResult(Changes)
  },
  'cell.store.readRow': {
    params: Type.Object({ table: Type.String(), partition: Type.String(), key: Type.String() }),
    result: relayedResult(Type.Union([Row, Type.Null()]))
  },
  'cell.store.changes': {
    params: Type.Object({ table: Type.String(), after: Count, waitMs: Count }), result: relayedResult(Changes)
  }
} as const

export type CellMethod = keyof typeof cellMethods
export type CellParams<Method extends CellMethod> = Static<(typeof cellMethods)[Method]['params']>
export type CellResult<Method extends CellMethod> = Static<(typeof cellMethods)[Method]['result']>
