/** Schemas of the request and response bodies of the platform's and the workers' HTTP APIs; see docs/adapters.md. */
import { Type, type Static, type TSchema } from '@sinclair/typebox'
import { Resources } from '@gypsumspring/protocol'

const NonNegativeInteger = Type.Integer({ minimum: 0 })
const Milliseconds = Type.Integer({ minimum: 0 })
const Key = Type.String({ minLength: 1, maxLength: 1024 })
const literalUnion = <Names extends string[]> (...names: Names) =>
  Type.Union(names.map((name) => Type.Literal(name))) as unknown as TSchema & { static: Names[number] }

/** Body of every response with a status of 400 or above. */
export const FailureResponse = Type.Object({
  certainty: literalUnion('not-done', 'unknown'),
  reason: literalUnion(
    'conflict', 'invalid', 'not-found', 'stale-epoch', 'session-expired', 'no-capacity', 'overloaded', 'unavailable',
    'timeout', 'closed'
  ),
  message: Type.String(),
  retryAfterMs: Type.Optional(Type.Number({ minimum: 0 }))
})

export const RowRecord = Type.Object({ key: Key, version: Type.Integer({ minimum: 1 }), value: Type.Unknown() })
export const ReadResponse = Type.Object({ row: Type.Union([RowRecord, Type.Null()]) })
export const ScanResponse = Type.Object({ rows: Type.Array(RowRecord) })

export const TransactRequest = Type.Object({
  checks: Type.Array(Type.Object({ key: Key, version: NonNegativeInteger })),
  writes: Type.Array(Type.Union([
    Type.Object({ kind: Type.Literal('put'), key: Key, value: Type.Unknown() }),
    Type.Object({ kind: Type.Literal('delete'), key: Key })
  ]))
})
export const TransactResponse = Type.Object({ versions: Type.Array(Type.Integer({ minimum: 1 })) })

export const MachineRecord = Type.Object({
  id: Type.String({ minLength: 1 }),
  kind: literalUnion('entry', 'worker', 'runner'),
  failureDomain: Type.String(),
  rack: Type.String(),
  address: Type.String({ minLength: 1 }),
  state: literalUnion('live', 'leaving'),
  capacity: Type.Optional(Resources)
})
/** The machines are checked one by one, by `MachineRecord`: a malformed one must not hide the others. */
export const MachinesResponse = Type.Object({ machines: Type.Array(Type.Unknown()) })

export const AttemptId = Type.Object({ task: Type.String({ minLength: 1 }), attempt: NonNegativeInteger })
const AttemptState = literalUnion('running', 'succeeded', 'failed', 'stopped', 'checkpointed')
const AttemptRecord = Type.Object({
  task: Type.String(),
  attempt: NonNegativeInteger,
  state: AttemptState,
  resources: Resources,
  usage: Type.Optional(Resources),
  detail: Type.Optional(Type.String())
})

export const SessionRef = Type.Object({
  worker: Type.String(), session: Type.String(), shard: Type.String({ minLength: 1 }), epoch: NonNegativeInteger
})

const inspectionFields = {
  epoch: NonNegativeInteger, label: Type.String(), capacity: Resources, attempts: Type.Array(AttemptRecord)
}
export const InspectResponse = Type.Object(inspectionFields)

export const OpenSessionRequest = Type.Object({
  shard: Type.String({ minLength: 1 }), epoch: NonNegativeInteger, ttlMs: Milliseconds, label: Type.String()
})
export const OpenSessionResponse = Type.Object({
  ...inspectionFields, worker: Type.String(), session: Type.String(), shard: Type.String()
})

export const HeartbeatRequest = Type.Object({
  session: SessionRef,
  renewals: Type.Array(AttemptId),
  leaseMs: Milliseconds,
  acknowledge: Type.Array(AttemptId)
})
export const HeartbeatResponse = Type.Object({ attempts: Type.Array(AttemptRecord) })

export const StartRequest = Type.Object({
  session: SessionRef,
  starts: Type.Array(Type.Object({
    task: Type.String({ minLength: 1 }),
    attempt: NonNegativeInteger,
    resources: Resources,
    leaseMs: Milliseconds,
    payload: Type.Record(Type.String(), Type.Unknown())
  }))
})
export const StartResponse = Type.Object({
  results: Type.Array(Type.Object({
    task: Type.String(),
    attempt: NonNegativeInteger,
    accepted: Type.Boolean(),
    state: Type.Optional(AttemptState),
    detail: Type.Optional(Type.String())
  }))
})

export const StopRequest = Type.Object({
  session: SessionRef, task: Type.String(), attempt: NonNegativeInteger, graceMs: Milliseconds
})
export const CheckpointRequest = Type.Object({ session: SessionRef, task: Type.String(), attempt: NonNegativeInteger })
export const ThrottleRequest = Type.Object({
  session: SessionRef, task: Type.String(), attempt: NonNegativeInteger, cpuMillis: NonNegativeInteger
})

/** Response of calls that return no data. */
export const EmptyResponse = Type.Object({})

export type FailureResponse = Static<typeof FailureResponse>
export type TransactRequest = Static<typeof TransactRequest>
export type MachineRecord = Static<typeof MachineRecord>
export type SessionRef = Static<typeof SessionRef>
export type OpenSessionRequest = Static<typeof OpenSessionRequest>
export type HeartbeatRequest = Static<typeof HeartbeatRequest>
export type StartRequest = Static<typeof StartRequest>
export type StopRequest = Static<typeof StopRequest>
export type CheckpointRequest = Static<typeof CheckpointRequest>
export type ThrottleRequest = Static<typeof ThrottleRequest>
