import { expect } from 'chai'
import { nextTaskState, type TaskEvent, type TaskState } from './index.ts'

describe('nextTaskState', () => {
  const cases: Array<{ state: TaskState, event: TaskEvent, next: TaskState | undefined, guards: string }> = [
    { state: 'waiting', event: 'accepted', next: undefined, guards: 'a start without an intent' },
    { state: 'recording', event: 'accepted', next: undefined, guards: 'a start before its intent is recorded' },
    { state: 'recording', event: 'stop', next: 'withdrawing', guards: 'a cancel during start that loses the intent' },
    { state: 'running', event: 'requeue', next: undefined, guards: 'a second attempt while the first runs' },
    { state: 'ending', event: 'requeue', next: undefined, guards: 'a new attempt before the end is recorded' },
    { state: 'stopping', event: 'accepted', next: 'stopping', guards: 'a late start answer that undoes a stop' },
    { state: 'starting', event: 'reportedRunning', next: 'running', guards: 'a lost start answer that is never resolved' }
  ]
  for (const { state, event, next, guards } of cases) {
    it(`prevents ${guards}`, () => {
      expect(nextTaskState(state, event)).to.equal(next)
    })
  }
})
