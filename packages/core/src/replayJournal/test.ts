import { expect } from 'chai'
import type { JournalRecord, JournalRow } from '../recordTypes.ts'
import { replayJournal } from './index.ts'

const resources = { cpuMillis: 1, memoryMb: 1, accelerators: 0 }
const claim: JournalRecord = { kind: 'claim', group: 'g', generation: 'x', team: 'a', workload: 'batch' }
const intent = (attempt: number): JournalRecord =>
  ({ kind: 'intent', task: 'g/0', group: 'g', attempt, worker: 'w', resources, revision: 'r' })
const end = (attempt: number): JournalRecord =>
  ({ kind: 'end', task: 'g/0', attempt, result: 'failed', failure: true })
const rows = (...batches: JournalRecord[][]): JournalRow[] =>
  batches.map((records, index) => ({ sequence: index + 1, writer: 'p', epoch: 1, configVersion: 7, records }))

describe('replayJournal', () => {
  const history = rows([claim, intent(1)], [end(1)], [intent(2)])

  it('gives the same state from every intermediate snapshot, also when rows before the snapshot are repeated', () => {
    const whole = replayJournal(undefined, history).unsafeCoerce().toSnapshot()
    expect(new Map(whole.tasks).get('g/0')).to.include({ attempt: 2, failures: 1 })
    for (let taken = 0; taken <= history.length; taken++) {
      const snapshot = replayJournal(undefined, history.slice(0, taken)).unsafeCoerce().toSnapshot()
      expect(replayJournal(snapshot, history).unsafeCoerce().toSnapshot()).to.deep.equal(whole)
    }
  })

  const rejected = [
    { name: 'a gap in the rows, whose intents would be lost', rows: [history[0]!, history[2]!], message: 'row 3 follows row 1' },
    { name: 'an intent while an attempt is live, which would run the task twice', rows: rows([claim, intent(1), intent(2)]), message: 'live attempt 1' },
    { name: 'an attempt number used before, which a worker would take for a repeat', rows: rows([claim, intent(1), end(1), intent(1)]), message: 'not above 1' },
    { name: 'the end of another attempt', rows: rows([claim, intent(2), end(1)]), message: 'not live' },
    { name: 'the release of a group with a live attempt', rows: rows([claim, intent(1), { kind: 'release', group: 'g' }]), message: 'is live' }
  ]
  for (const { name, rows, message } of rejected) {
    it(`rejects ${name}`, () => {
      expect(replayJournal(undefined, rows).swap().unsafeCoerce()).to.include(message)
    })
  }

  it('keeps the last attempt number after the release of a group, so that no number is used twice', () => {
    const history = rows([claim, intent(1), end(1), { kind: 'release', group: 'g' }, claim])
    const state = replayJournal(undefined, history).unsafeCoerce()
    expect(state.lastAttempt).to.equal(1)
    expect([...state.tasks.keys()]).to.deep.equal([])
  })
})
