import type { Member, RpcMethod, RpcResult, ShardStatus } from '@gypsumspring/protocol'
import type { Peers } from '../../types.ts'

/** A process that did not respond, with the reason. */
export interface UnreachableProcess {
  process: string
  reason: string
}

export interface CollectedStatus {
  shards: ShardStatus[]
  unreachable: UnreachableProcess[]
}

export interface CollectedExplanation {
  lines: string[] | undefined
  unreachable: UnreachableProcess[]
}

/** Timeout of a call to a scheduler, in ms. */
const SCHEDULER_TIMEOUT_MS = 2000

/**
 * Collects the state of all shards from the schedulers that own them.
 *
 * @param members - Known processes.
 * @param peers - RPC client for calls to them.
 * @returns The shards in order of their ids, each from the report with the highest epoch, and the schedulers that could
 * not be reached.
 *
 * @example
 * await collectStatus(members.members(), peers)
 */
export async function collectStatus (members: Member[], peers: Peers): Promise<CollectedStatus> {
  const { responses, unreachable } = await askSchedulers(members, peers, 'shard.status', {})
  const newest = new Map<string, ShardStatus>()
  for (const shard of responses.flatMap(({ shards }) => shards)) {
    if ((newest.get(shard.shard)?.epoch ?? -1) < shard.epoch) newest.set(shard.shard, shard)
  }
  return { shards: [...newest.values()].sort((a, b) => a.shard < b.shard ? -1 : 1), unreachable }
}

/**
 * Asks the schedulers to explain why a task is placed where it is, or why it waits.
 *
 * @param members - Known processes.
 * @param peers - RPC client for calls to them.
 * @param task - Task id.
 * @returns The explanation of the scheduler that knows the task; `lines` is undefined if none of those reached does.
 *
 * @example
 * await collectExplanation(members.members(), peers, 'demo/index/0')
 */
export async function collectExplanation (
  members: Member[], peers: Peers, task: string
): Promise<CollectedExplanation> {
  const { responses, unreachable } = await askSchedulers(members, peers, 'shard.explain', { task })
  return { lines: responses.find(({ found }) => found)?.lines, unreachable }
}

async function askSchedulers<Method extends RpcMethod> (
  members: Member[], peers: Peers, method: Method, params: Parameters<typeof peers.call<Method>>[2]
): Promise<{ responses: Array<RpcResult<Method>>, unreachable: UnreachableProcess[] }> {
  const schedulers = members.filter(({ role }) => role === 'scheduler')
  const asked = await Promise.all(schedulers.map(async ({ id, address }) => ({
    id, outcome: await peers.call(address, method, params, { timeoutMs: SCHEDULER_TIMEOUT_MS })
  })))
  return {
    responses: asked.flatMap(({ outcome }) => outcome.isRight() ? [outcome.unsafeCoerce()] : []),
    unreachable: asked.flatMap(({ id, outcome }) =>
      outcome.caseOf({ Left: ({ message }) => [{ process: id, reason: message }], Right: () => [] }))
  }
}
