import { createMachine, transition } from 'xstate'
import lifeCycle from './taskLifeCycle.json' with { type: 'json' }

export type TaskState = keyof typeof lifeCycle.states

export type TaskEvent =
  | 'place' | 'recorded' | 'accepted' | 'reportedRunning' | 'ended' | 'endRecorded' | 'requeue' | 'stop' | 'withdraw'

/** All states of the life cycle. */
export const TASK_STATES = Object.keys(lifeCycle.states) as TaskState[]

const machine = createMachine(lifeCycle)

/** Next state by state and event: there are few such pairs, and a shard makes hundreds of transitions a second. */
const cache = new Map<string, TaskState | undefined>()

/**
 * Returns the next state of a task according to the state chart in taskLifeCycle.json.
 *
 * @param state - Current state.
 * @param event - What happened.
 * @returns The next state; undefined if the event is not allowed in the current state.
 *
 * @example
 * nextTaskState('waiting', 'place') // => 'recording'
 */
export function nextTaskState (state: TaskState, event: TaskEvent): TaskState | undefined {
  const key = `${state} ${event}`
  if (!cache.has(key)) cache.set(key, computeNextState(state, event))
  return cache.get(key)
}

function computeNextState (state: TaskState, event: TaskEvent): TaskState | undefined {
  const snapshot = machine.resolveState({ value: state })
  if (!snapshot.can({ type: event })) return undefined
  const [next] = transition(machine, snapshot, { type: event })
  return next.value as TaskState
}
