/** RPC methods between the nodes of a cell: params and results are checked by these schemas. */
import { Type, type Static, type TSchema } from '@sinclair/typebox'
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
  value: Type.Union([Base64,
    Type.Null()])
})

/** Answer of a relayed store call: the result, or the failure as the relaying node saw it. */
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

const Changes = Type.Object({ rows: Type.Array(Row), version: Count })

const JobStateName = Type.Union(['queued', 'running', 'completed', 'failed', 'cancelled'].map((state) =>
  Type.Literal(state)))

export const cellMethods = {
  /** Sent at short intervals by each node to the owner; shows that both are alive. */
  'cell.follow': {
    params: Type.Object({
      node: Type.String(),
      address: Type.String(),
      uptimeMs: Type.Number(),
      resigned: Type.Boolean(),
      hasStore: Type.Boolean(),
      weakness: Type.Number()
    }),
    result: Type.Object({ isOwner: Type.Boolean(), token: Count, peers: Type.Array(Type.String()) })
  },
  /** Tells a follower that the owner has stopped; with `transfer` the follower is the owner now. */
  'cell.released': {
    params: Type.Object({
      token: Count, transfer: Type.Union([Type.Object({ record: OwnerRecord, version: Count }), Type.Null()])
    }),
    result: Type.Object({})
  },
  /** Tells the owner of a job that was stored. */
  'cell.accept': { params: Type.Object({ job: Job }), result: Type.Object({ taken: Type.Boolean() }) },
  'cell.cancel': { params: Type.Object({ id: Type.String() }), result: Type.Object({ taken: Type.Boolean() }) },
  'cell.show': {
    params: Type.Object({ id: Type.String() }),
    result: Type.Object({ known: Type.Boolean(), state: Type.Union([JobStateName, Type.Null()]) })
  },
  'cell.pending': {
    params: Type.Object({ queue: Type.String() }), result: Type.Object({ pending: Type.Union([Count, Type.Null()]) })
  },
  'cell.advise': {
    params: Type.Object({
      job: Type.String(), occurrence: Count, step: Count, workers: Type.Array(Type.String()), timeoutMs: Type.Number()
    }),
    result: relayedResult(Type.Object({ tickets: Type.Array(Type.Tuple([Type.String(), Type.String()])) }))
  },
  'cell.store.commit': {
    params: CommitParams,
    result: relayedResult(Type.Union([
      Type.Object({ kind: Type.Literal('committed'), version: Count }),
      Type.Object({ kind: Type.Literal('conflict'), rows: Type.Array(Row) })
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
