import type { CellStatus, OperatorClient } from '../operatorClient/index.ts'
import { exitCodes, formatTable, type CommandResult } from '../output/index.ts'

interface StatusOptions {
  json?: boolean
  /** Lists every task in addition to the task counts. */
  tasks?: boolean
}

/** Shows the processes, shards and workloads of the cell. */
export async function showStatus (client: OperatorClient, options: StatusOptions): Promise<CommandResult> {
  const status = await client.readStatus()
  return status.caseOf<CommandResult>({
    Left: (refusal) => refusal,
    Right: (value) => ({
      code: exitCodes.ok,
      output: options.json === true ? [JSON.stringify(value)] : formatStatus(value, options.tasks === true)
    })
  })
}

function formatStatus (status: CellStatus, includeTasks: boolean): string[] {
  const { readiness, unreachable } = status
  return [
    `configuration version ${status.configVersion}, reported by ${status.process}`,
    ...readiness.degraded.map(({ dependency, stillServed, notServed }) =>
      `degraded: ${dependency}; still served: ${stillServed}; not served: ${notServed}`),
    ...unreachable.map(({ process, reason }) => `unreachable: ${process} (${reason})`),
    '',
    ...formatTable([
      ['process', 'role', 'failure domain', 'version', 'state'],
      ...status.processes.map(({ id, role, failureDomain, configVersion, leaving }) =>
        [id, role, failureDomain, String(configVersion), leaving ? 'leaving' : 'live'])
    ]),
    '',
    ...formatTable([
      ['shard', 'owner', 'epoch', 'state', 'workers', 'unreachable', 'excluded'],
      ...status.shards.map(({ shard, owner, epoch, state, workers }) => [
        shard, owner, String(epoch), state,
        String(workers.reachable + workers.unreachable), String(workers.unreachable), String(workers.excluded)
      ])
    ]),
    '',
    ...formatTable([['workload', 'kind', 'tasks by state'], ...countTasksByWorkload(status)]),
    ...includeTasks ? ['', ...formatTaskTable(status)] : []
  ]
}

function countTasksByWorkload (status: CellStatus): string[][] {
  const workloads = new Map<string, { kind: string, states: Map<string, number> }>()
  for (const task of status.shards.flatMap(({ tasks }) => tasks)) {
    const name = `${task.scope}/${task.workload}`
    const counts = workloads.get(name) ?? { kind: task.kind, states: new Map() }
    counts.states.set(task.state, (counts.states.get(task.state) ?? 0) + 1)
    workloads.set(name, counts)
  }
  return [...workloads].sort(([a], [b]) => a < b ? -1 : 1).map(([name, { kind, states }]) =>
    [name, kind, [...states].map(([state, count]) => `${count} ${state}`).join(', ')])
}

function formatTaskTable (status: CellStatus): string[] {
  const tasks = status.shards.flatMap(({ tasks }) => tasks)
  return formatTable([
    ['task', 'state', 'attempt', 'worker', 'detail'],
    ...tasks.map(({ task, state, attempt, worker, detail }) => [task, state, String(attempt), worker ?? '-', detail])
  ])
}
