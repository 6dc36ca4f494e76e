/** Schemas of the RPC messages between the processes of a cell; section 5 of docs/design.md lists their senders. */
import { Type, type Static, type TObject, type TSchema } from '@sinclair/typebox'
import { ConfigurationIndex, Manifest } from '../manifest/index.ts'

const NonNegativeInteger = Type.Integer({ minimum: 0 })

/** Fields that the params of every request contain. */
export const SenderFields = Type.Object({
  from: Type.String(),
  configVersion: NonNegativeInteger
})
export type SenderFields = Static<typeof SenderFields>

export const Member = Type.Object({
  id: Type.String(),
  role: Type.Union([Type.Literal('entry'), Type.Literal('scheduler')]),
  failureDomain: Type.String(),
  /** RPC address. */
  address: Type.String(),
  /** New at each start of the process. */
  incarnation: Type.String(),
  leaving: Type.Boolean(),
  /** Latest configuration version that the member has reported as in force. */
  configVersion: NonNegativeInteger,
  /** Time since the sender last heard from the member, in ms. A duration, so clocks need not be synchronised. */
  ageMs: Type.Number({ minimum: 0 })
})
export type Member = Static<typeof Member>

/** Tokens that an entry holds for the slots of one runner. */
export const SlotHolding = Type.Object({
  endpoint: Type.String(),
  runner: Type.String(),
  held: NonNegativeInteger,
  inUse: NonNegativeInteger,
  /** The runner fails or is slow, so the entry sends requests to it only as a last resort. */
  avoided: Type.Boolean()
})
export type SlotHolding = Static<typeof SlotHolding>

/** Number of requests that wait in an entry for a token of an endpoint. */
export const SlotDemand = Type.Object({ endpoint: Type.String(), waiting: NonNegativeInteger })
export type SlotDemand = Static<typeof SlotDemand>

/** Tokens of one runner that an allocator grants to an entry or asks it to release. */
export const SlotMove = Type.Object({
  endpoint: Type.String(),
  runner: Type.String(),
  slots: Type.Integer({ minimum: 1 })
})
export type SlotMove = Static<typeof SlotMove>

/** State of an at-most-once request in the entry that claimed it. */
export const AtMostOnceState = Type.Union([Type.Literal('in-flight'), Type.Literal('abandoned'), Type.Literal('unknown')])
export type AtMostOnceState = Static<typeof AtMostOnceState>

export const TaskStatus = Type.Object({
  task: Type.String(),
  workload: Type.String(),
  scope: Type.String(),
  kind: Type.String(),
  state: Type.String(),
  attempt: NonNegativeInteger,
  worker: Type.Union([Type.String(), Type.Null()]),
  detail: Type.String()
})
export type TaskStatus = Static<typeof TaskStatus>

export const ShardStatus = Type.Object({
  shard: Type.String(),
  owner: Type.String(),
  epoch: NonNegativeInteger,
  state: Type.String(),
  configVersion: NonNegativeInteger,
  workers: Type.Object({
    reachable: NonNegativeInteger, unreachable: NonNegativeInteger, excluded: NonNegativeInteger
  }),
  tasks: Type.Array(TaskStatus)
})
export type ShardStatus = Static<typeof ShardStatus>

function defineMethod<Params extends TObject, Result extends TSchema> (params: Params, result: Result) {
  return { params: Type.Composite([SenderFields, params]), result }
}

/** RPC methods by name, with the schemas of their params and results. */
export type MethodTable = Record<string, { params: TObject, result: TSchema }>

/** All RPC methods between processes, with the schemas of their params and results. */
export const rpcMethods = {
  'peer.exchange': defineMethod(
    Type.Object({ members: Type.Array(Member) }),
    Type.Object({ configVersion: NonNegativeInteger, members: Type.Array(Member) })),
  'config.fetch': defineMethod(
    Type.Object({ atLeast: NonNegativeInteger }),
    Type.Object({ index: Type.Union([ConfigurationIndex, Type.Null()]) })),
  'config.manifest': defineMethod(
    Type.Object({ hash: Type.String() }),
    Type.Object({ manifest: Type.Union([Manifest, Type.Null()]) })),
  'slots.report': defineMethod(
    Type.Object({
      entry: Type.String(),
      incarnation: Type.String(),
      epoch: NonNegativeInteger,
      sequence: NonNegativeInteger,
      holdings: Type.Array(SlotHolding),
      demands: Type.Array(SlotDemand),
      leaving: Type.Boolean()
    }),
    Type.Object({
      epoch: NonNegativeInteger,
      sequence: NonNegativeInteger,
      registered: Type.Boolean(),
      /**
       * How long the entry may use its tokens, in ms from when it sent the report. Derived from the allocator's last
       * lease renewal, so that a new allocator knows when the tokens granted by its predecessor have expired.
       */
      validMs: NonNegativeInteger,
      grants: Type.Array(SlotMove),
      releases: Type.Array(SlotMove)
    })),
  /** Asks an entry to report at once because another entry needs tokens that it holds. Best effort; it may get lost. */
  'slots.notify': defineMethod(Type.Object({ failureDomain: Type.String(), epoch: NonNegativeInteger }), Type.Object({})),
  'once.status': defineMethod(
    Type.Object({ key: Type.String(), nonce: Type.String() }),
    Type.Object({ state: AtMostOnceState })),
  'shard.status': defineMethod(Type.Object({}), Type.Object({ shards: Type.Array(ShardStatus) })),
  'shard.explain': defineMethod(
    Type.Object({ task: Type.String() }),
    Type.Object({ found: Type.Boolean(), lines: Type.Array(Type.String()) }))
} as const

export type RpcMethod = keyof typeof rpcMethods
export type RpcParams<Method extends RpcMethod> = Static<(typeof rpcMethods)[Method]['params']>
export type RpcResult<Method extends RpcMethod> = Static<(typeof rpcMethods)[Method]['result']>
