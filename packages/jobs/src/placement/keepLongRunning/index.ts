import { WorkerState } from '../../workers/WorkerState.ts'

/**
 * Describes a worker as it will be once all tasks that end by themselves have ended.
 *
 * @param worker - The worker, which is not changed.
 * @returns A worker with the same capacity that runs only the long-running tasks.
 */
export function keepLongRunning ({ entry, tasks }: WorkerState): WorkerState {
  const remaining = new WorkerState(entry, 0)
  for (const task of tasks) if (task.step.spec.longRunning && task.status !== 'stopping') remaining.add(task)
  return remaining
}
