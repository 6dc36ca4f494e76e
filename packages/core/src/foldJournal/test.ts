import { expect } from 'chai'
import type { JournalRecord, JournalRow } from '../recordTypes.ts'
import { foldJournal } from './index.ts'

const resources = { cpuMillis: 1, memoryMb: 1, accelerators: 0 }
const claim: JournalRecord = { kind: 'claim', group: 'g', generation: 'x', team: 'a', workload: 'batch' }
const intent = (attempt: number): JournalRecord =>
  ({ kind: 'intent', task: 'g/0', group: 'g', attempt, worker: 'w', resources, revision: 'r' })
const end = (attempt: number): JournalRecord =>
  ({ kind: 'end', task: 'g/0', attempt, result: 'failed', failure: true })
const rows = (...batches: JournalRecord[][]): JournalRow[] =>
  batches.map((records, index) => ({ sequence: index + 1, writer: 'p', epoch: 1, configVersion: 7, records }))

describe('foldJournal', () => {
  const history = rows([claim, intent(1)], [end(1)], [intent(2)])

  it('gives the same state from any snapshot on the way, rows before it repeated', () => {
    const whole = foldJournal(undefined, history).unsafeCoerce().toSnapshot()
    expect(new Map(whole.tasks).get('g/0')).to.include({ attempt: 2, failures: 1 })
    for (let taken = 0; taken <= history.length; taken++) {
      const snapshot = foldJournal(undefined, history.slice(0, taken)).unsafeCoerce().toSnapshot()
      expect(foldJournal(snapshot, history).unsafeCoerce().toSnapshot()).to.deep.equal(whole)
    }
  })

  const rejected = [
    { name: 'a missing row, whose intents would be forgotten', rows: [history[0]!, history[2]!], message: 'row 3 follows row 1' },
    { name: 'an intent while an attempt is live, a double run', rows: rows([claim, intent(1), intent(2)]), message: 'live attempt 1' },
    { name: 'an attempt number used before, which a worker would take for a repeat', rows: rows([claim, intent(1), end(1), intent(1)]), message: 'not above 1' },
    { name: 'an end of another attempt', rows: rows([claim, intent(2), end(1)]), message: 'not live' },
    { name: 'the release of a group with a live attempt', rows: rows([claim, intent(1), { kind: 'release', group: 'g' }]), message: 'is live' }
  ]
  for (const { name, rows, message } of rejected) {
    it(`rejects ${name}`, () => {
      expect(foldJournal(undefined, rows).swap().unsafeCoerce()).to.include(message)
    })
  }

  it('keeps raising attempt numbers over the release of a group', () => {
    const state = foldJournal(undefined, rows([claim, intent(1), end(1), { kind: 'release', group: 'g' }, claim])).unsafeCoerce()
    expect(state.lastAttempt).to.equal(1)
    expect([...state.tasks.keys()]).to.deep.equal([])
  })
})
