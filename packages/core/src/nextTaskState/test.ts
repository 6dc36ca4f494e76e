import { expect } from 'chai'
import { nextTaskState, type TaskEvent, type TaskState } from './index.ts'

describe('nextTaskState', () => {
  const cases: Array<{ state: TaskState, event: TaskEvent, next: TaskState | undefined, guards: string }> = [
    { state: 'waiting', event: 'accepted', next: undefined, guards: 'a start without an intent' },
    { state: 'recording', event: 'accepted', next: undefined, guards: 'a start before its intent is recorded' },
    { state: 'recording', event: 'stop', next: 'withdrawing', guards: 'a cancellation during the recording that loses the intent' },
    { state: 'running', event: 'requeue', next: undefined, guards: 'a second attempt while the first runs' },
    { state: 'ending', event: 'requeue', next: undefined, guards: 'a new attempt before the end is recorded' },
    { state: 'stopping', event: 'accepted', next: 'stopping', guards: 'a stop that is undone by a late response to the start' },
    { state: 'starting', event: 'reportedRunning', next: 'running', guards: 'a start that stays unresolved after its response was lost' }
  ]
  for (const { state, event, next, guards } of cases) {
    it(`prevents ${guards}`, () => {
      expect(nextTaskState(state, event)).to.equal(next)
    })
  }
})
