/** Bodies of the platform's and the workers' HTTP APIs; docs/adapters.md describes the calls. */
import { Type, type Static, type TSchema } from '@sinclair/typebox'
import { Resources } from '@gypsumspring/protocol'

const Count = Type.Integer({ minimum: 0 })
const Milliseconds = Type.Integer({ minimum: 0 })
const Key = Type.String({ minLength: 1, maxLength: 1024 })
const literals = <Names extends string[]> (...names: Names) =>
  Type.Union(names.map((name) => Type.Literal(name))) as unknown as TSchema & { static: Names[number] }

/** Body of every answer with a status of 400 and above. */
export const FailureAnswer = Type.Object({
  certainty: literals('not-done', 'unknown'),
  reason: literals(
    'conflict', 'invalid', 'not-found', 'stale-epoch', 'session-expired', 'no-capacity', 'overloaded', 'unavailable',
    'timeout', 'closed'
  ),
  message: Type.String(),
  retryAfterMs: Type.Optional(Type.Number({ minimum: 0 }))
})

export const RowAnswer = Type.Object({ key: Key, version: Type.Integer({ minimum: 1 }), value: Type.Unknown() })
export const ReadAnswer = Type.Object({ row: Type.Union([RowAnswer, Type.Null()]) })
export const ScanAnswer = Type.Object({ rows: Type.Array(RowAnswer) })

export const TransactRequest = Type.Object({
  checks: Type.Array(Type.Object({ key: Key, version: Count })),
  writes: Type.Array(Type.Union([
    Type.Object({ kind: Type.Literal('put'), key: Key, value: Type.Unknown() }),
    Type.Object({ kind: Type.Literal('delete'), key: Key })
  ]))
})
export const TransactAnswer = Type.Object({ versions: Type.Array(Type.Integer({ minimum: 1 })) })

export const MachineRecord = Type.Object({
  id: Type.String({ minLength: 1 }),
  kind: literals('entry', 'worker', 'runner'),
  failureDomain: Type.String(),
  rack: Type.String(),
  address: Type.String({ minLength: 1 }),
  state: literals('live', 'leaving'),
  capacity: Type.Optional(Resources)
})
export const MachinesAnswer = Type.Object({ machines: Type.Array(MachineRecord) })

export const AttemptId = Type.Object({ task: Type.String({ minLength: 1 }), attempt: Count })
const AttemptState = literals('running', 'succeeded', 'failed', 'stopped', 'checkpointed')
const AttemptRecord = Type.Object({
  task: Type.String(),
  attempt: Count,
  state: AttemptState,
  resources: Resources,
  usage: Type.Optional(Resources),
  detail: Type.Optional(Type.String())
})

export const SessionRef = Type.Object({
  worker: Type.String(), session: Type.String(), shard: Type.String({ minLength: 1 }), epoch: Count
})

const inspection = {
  epoch: Count, label: Type.String(), capacity: Resources, attempts: Type.Array(AttemptRecord)
}
export const InspectAnswer = Type.Object(inspection)

export const OpenSessionRequest = Type.Object({
  shard: Type.String({ minLength: 1 }), epoch: Count, ttlMs: Milliseconds, label: Type.String()
})
export const OpenSessionAnswer = Type.Object({
  ...inspection, worker: Type.String(), session: Type.String(), shard: Type.String()
})

export const HeartbeatRequest = Type.Object({
  session: SessionRef,
  renewals: Type.Array(AttemptId),
  leaseMs: Milliseconds,
  acknowledge: Type.Array(AttemptId)
})
export const HeartbeatAnswer = Type.Object({ attempts: Type.Array(AttemptRecord) })

export const StartRequest = Type.Object({
  session: SessionRef,
  starts: Type.Array(Type.Object({
    task: Type.String({ minLength: 1 }),
    attempt: Count,
    resources: Resources,
    leaseMs: Milliseconds,
    payload: Type.Record(Type.String(), Type.Unknown())
  }))
})
export const StartAnswer = Type.Object({
  results: Type.Array(Type.Object({
    task: Type.String(),
    attempt: Count,
    accepted: Type.Boolean(),
    state: Type.Optional(AttemptState),
    detail: Type.Optional(Type.String())
  }))
})

export const StopRequest = Type.Object({
  session: SessionRef, task: Type.String(), attempt: Count, graceMs: Milliseconds
})
export const CheckpointRequest = Type.Object({ session: SessionRef, task: Type.String(), attempt: Count })
export const ThrottleRequest = Type.Object({
  session: SessionRef, task: Type.String(), attempt: Count, cpuMillis: Count
})

/** Answer of calls that return nothing. */
export const EmptyAnswer = Type.Object({})

export type FailureAnswer = Static<typeof FailureAnswer>
export type TransactRequest = Static<typeof TransactRequest>
export type MachineRecord = Static<typeof MachineRecord>
export type SessionRef = Static<typeof SessionRef>
export type OpenSessionRequest = Static<typeof OpenSessionRequest>
export type HeartbeatRequest = Static<typeof HeartbeatRequest>
export type StartRequest = Static<typeof StartRequest>
export type StopRequest = Static<typeof StopRequest>
export type CheckpointRequest = Static<typeof CheckpointRequest>
export type ThrottleRequest = Static<typeof ThrottleRequest>
