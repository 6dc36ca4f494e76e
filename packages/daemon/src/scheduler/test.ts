import { expect } from 'chai'
import { TestCell } from './testSupport/index.ts'

describe('scheduler', () => {
  let cell: TestCell

  afterEach(() => {
    expect(cell.violations).to.deep.equal([])
    cell.close()
  })

  it('runs a batch to its end', async () => {
    cell = new TestCell(2)
    const a = cell.startProcess('a')
    cell.configure([{ id: 'x', tasks: 6, payload: { runMs: 3_000 } }])
    await cell.run(20_000)
    console.log(JSON.stringify(await a.status(), null, 1), cell.starts)
    expect(cell.succeeded.size).to.equal(6)
  })
})
