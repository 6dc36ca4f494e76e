import { createMachine, transition } from 'xstate'
import chart from './taskLifeCycle.json' with { type: 'json' }

export type TaskState = keyof typeof chart.states

export type TaskEvent =
  | 'place' | 'recorded' | 'accepted' | 'reportedRunning' | 'ended' | 'endRecorded' | 'requeue' | 'stop' | 'withdraw'

/** Every state of the chart. */
export const TASK_STATES = Object.keys(chart.states) as TaskState[]

const machine = createMachine(chart)

/** Results by state and event: the chart is small, and a shard makes hundreds of transitions a second. */
const known = new Map<string, TaskState | undefined>()

/**
 * Interprets the life cycle of a task (taskLifeCycle.json).
 *
 * @param state - Present state.
 * @param event - What happened.
 * @returns The next state; undefined when the event is not possible in this state.
 *
 * @example
 * nextTaskState('waiting', 'place') // => 'recording'
 */
export function nextTaskState (state: TaskState, event: TaskEvent): TaskState | undefined {
  const key = `${state} ${event}`
  if (!known.has(key)) known.set(key, interpret(state, event))
  return known.get(key)
}

function interpret (state: TaskState, event: TaskEvent): TaskState | undefined {
  const snapshot = machine.resolveState({ value: state })
  if (!snapshot.can({ type: event })) return undefined
  const [next] = transition(machine, snapshot, { type: event })
  return next.value as TaskState
}
