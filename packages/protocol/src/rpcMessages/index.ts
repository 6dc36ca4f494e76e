/** Schemas of the messages between our own processes; docs/design.md section 5 lists who sends which. */
import { Type, type Static, type TObject, type TSchema } from '@sinclair/typebox'
import { ConfigurationIndex, Manifest } from '../manifest/index.ts'

const Count = Type.Integer({ minimum: 0 })

/** Fields that every request's params carry. */
export const Sender = Type.Object({
  from: Type.String(),
  configVersion: Count
})
export type Sender = Static<typeof Sender>

export const Member = Type.Object({
  id: Type.String(),
  role: Type.Union([Type.Literal('entry'), Type.Literal('scheduler')]),
  failureDomain: Type.String(),
  /** RPC address. */
  address: Type.String(),
  /** Changes at each start of the process. */
  incarnation: Type.String(),
  leaving: Type.Boolean(),
  /** Newest configuration version that the member said is in force there. */
  configVersion: Count,
  /** Milliseconds since the member was last heard of, as counted by the sender; relative, so no clocks are compared. */
  ageMs: Type.Number({ minimum: 0 })
})
export type Member = Static<typeof Member>

export const SlotHolding = Type.Object({
  endpoint: Type.String(),
  runner: Type.String(),
  held: Count,
  inUse: Count,
  /** The entry sends requests there only as a last resort, because the runner fails or is slow. */
  avoided: Type.Boolean()
})
export type SlotHolding = Static<typeof SlotHolding>

export const SlotDemand = Type.Object({ endpoint: Type.String(), waiting: Count })
export type SlotDemand = Static<typeof SlotDemand>

export const SlotMove = Type.Object({
  endpoint: Type.String(),
  runner: Type.String(),
  slots: Type.Integer({ minimum: 1 })
})
export type SlotMove = Static<typeof SlotMove>

export const OnceState = Type.Union([Type.Literal('in-flight'), Type.Literal('abandoned'), Type.Literal('unknown')])
export type OnceState = Static<typeof OnceState>

export const TaskStatus = Type.Object({
  task: Type.String(),
  workload: Type.String(),
  scope: Type.String(),
  kind: Type.String(),
  state: Type.String(),
  attempt: Count,
  worker: Type.Union([Type.String(), Type.Null()]),
  detail: Type.String()
})
export type TaskStatus = Static<typeof TaskStatus>

export const ShardStatus = Type.Object({
  shard: Type.String(),
  owner: Type.String(),
  epoch: Count,
  state: Type.String(),
  configVersion: Count,
  workers: Type.Object({ reachable: Count, unreachable: Count, excluded: Count }),
  tasks: Type.Array(TaskStatus)
})
export type ShardStatus = Static<typeof ShardStatus>

function method<Params extends TObject, Result extends TSchema> (params: Params, result: Result) {
  return { params: Type.Composite([Sender, params]), result }
}

/** RPC methods with the schemas of their params and results, by name. */
export type MethodTable = Record<string, { params: TObject, result: TSchema }>

/** Every RPC method with the schema of its params and result. */
export const rpcMethods = {
  'peer.exchange': method(
    Type.Object({ members: Type.Array(Member) }),
    Type.Object({ configVersion: Count, members: Type.Array(Member) })),
  'config.fetch': method(
    Type.Object({ atLeast: Count }),
    Type.Object({ index: Type.Union([ConfigurationIndex, Type.Null()]) })),
  'config.manifest': method(
    Type.Object({ hash: Type.String() }),
    Type.Object({ manifest: Type.Union([Manifest, Type.Null()]) })),
  'slots.report': method(
    Type.Object({
      entry: Type.String(),
      incarnation: Type.String(),
      epoch: Count,
      sequence: Count,
      holdings: Type.Array(SlotHolding),
      demands: Type.Array(SlotDemand),
      leaving: Type.Boolean()
    }),
    Type.Object({
      epoch: Count,
      sequence: Count,
      registered: Type.Boolean(),
      /**
       * Milliseconds, from the sending of the report on, for which the entry may use its tokens. It counts from the
       * allocator's last lease renewal, so that a newer allocator knows when an older one's tokens have expired.
       */
      validMs: Count,
      grants: Type.Array(SlotMove),
      releases: Type.Array(SlotMove)
    })),
  /** Asks an entry to report at once, since another one lacks tokens that it holds. Nothing depends on its arrival. */
  'slots.notify': method(Type.Object({ failureDomain: Type.String(), epoch: Count }), Type.Object({})),
  'once.status': method(
    Type.Object({ key: Type.String(), nonce: Type.String() }),
    Type.Object({ state: OnceState })),
  'shard.status': method(Type.Object({}), Type.Object({ shards: Type.Array(ShardStatus) })),
  'shard.explain': method(
    Type.Object({ task: Type.String() }),
    Type.Object({ found: Type.Boolean(), lines: Type.Array(Type.String()) }))
} as const

export type RpcMethod = keyof typeof rpcMethods
export type RpcParams<Method extends RpcMethod> = Static<(typeof rpcMethods)[Method]['params']>
export type RpcResult<Method extends RpcMethod> = Static<(typeof rpcMethods)[Method]['result']>
