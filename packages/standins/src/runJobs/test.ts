import { expect } from 'chai'
import { runJobs } from './index.ts'

describe('runJobs', () => {
  it('completes its jobs although the owner of the cell is killed', async () => {
    expect(await runJobs(() => {})).to.deep.equal([])
  })
})
