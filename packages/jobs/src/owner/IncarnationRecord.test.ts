import { expect } from 'chai'
import { makeWorker } from '../placement/_test/makeState.ts'
import { CONTROL_TABLE } from '../ownership/index.ts'
import { CELL_PARTITION } from '../records/index.ts'
import { Cell } from './Cell.ts'
import { IncarnationRecord } from './IncarnationRecord.ts'

/** Largest row of the platform, in bytes. */
const MAX_ROW_BYTES = 65_536

describe('IncarnationRecord', () => {
  const nothing = () => {}
  let cell: Cell
  let record: IncarnationRecord

  beforeEach(() => {
    cell = new Cell(() => undefined, { info: nothing, warn: nothing },
      { count: nothing, recordDuration: nothing, set: nothing }, { onChange: nothing, onDirty: nothing })
    record = new IncarnationRecord(cell)
  })

  function addWorker (id: string, startedAt: number | undefined): void {
    cell.workers.set(id, makeWorker(id, {}, { startedAt }))
  }

  const changes = [
    { name: 'a worker tells its start', startedAt: [1], writes: [1] },
    { name: 'a worker tells the same start again', startedAt: [1, 1], writes: [1, 0] },
    { name: 'a worker has started again', startedAt: [1, 2], writes: [1, 1] },
    { name: 'a worker has started again with an earlier time', startedAt: [2, 1], writes: [1, 1] },
    { name: 'a worker doesn\'t tell its start', startedAt: [undefined], writes: [0] }
  ]
  for (const { name, startedAt, writes } of changes) {
    it(`writes ${writes.at(-1) === 0 ? 'nothing' : 'the row'} when ${name}`, () => {
      const written = startedAt.map((start) => {
        addWorker('w', start)
        return record.takeWrites().length
      })
      expect(written).to.deep.equal(writes)
    })
  }

  it('tells a later owner the last start of each worker', () => {
    addWorker('w', 1)
    addWorker('w', 2)
    const address = { table: CONTROL_TABLE, partition: CELL_PARTITION }
    const rows = record.takeWrites().map(({ key, value }) => ({ ...address, key, value, version: 1 }))
    const next = new IncarnationRecord(cell)
    next.restore(rows)
    expect(next.startOf('w')).to.equal(2)
    expect(next.startOf('other')).to.equal(undefined)
  })

  // A row that is too large would keep all progress from being stored.
  it('fits into a row with more workers than it can hold, and is not written again and again', () => {
    for (let index = 0; index < 3_000; index++) addWorker(`i-${String(index).padStart(10, '0')}`, 1_700_000_000_000)
    const [put] = record.takeWrites()
    expect(put!.value.length).to.be.below(MAX_ROW_BYTES)
    expect(record.takeWrites()).to.have.length(0)
  })
})
