import { expect } from 'chai'
import { callControl } from '../callControl/index.ts'
import type { Cell } from '../startCell/index.ts'
import { checkInvariants, startTestCell, waitFor, waitUntilSettled } from './_support/cell.ts'
import { countOutcomes, LoadGenerator } from './_support/LoadGenerator.ts'

describe('a rolling restart of all entry VMs under load', () => {
  let cell: Cell

  before(async () => { cell = await startTestCell({ serviceMs: 40 }) })
  after(async () => { await cell?.stop() })

  it('fails no request, runs no non-repeatable request twice, and exits with code 0 (P5, P7)', async () => {
    await waitUntilSettled(cell, cell.manifest.workloads ?? [])
    const headers = { 'gs-team': 'balcao' }
    const lookUps = new LoadGenerator(cell, '/e/origem/surnames/rossi', 20, { headers })
    const reports = new LoadGenerator(cell, '/e/origem/lineage-reports', 100, { headers, method: 'POST', deadlineMs: 10_000 })
    for (const [index, vm] of cell.vms.entries()) {
      await Promise.all([vm.entry.kill('SIGTERM'), vm.scheduler.kill('SIGTERM')])
      expect(vm.entry.exitCode, vm.entry.log.slice(-5).join('\n')).to.equal(0)
      expect(vm.scheduler.exitCode, vm.scheduler.log.slice(-5).join('\n')).to.equal(0)
      vm.entry = await cell.startEntry(index, vm.host, vm.failureDomain)
      vm.scheduler = await cell.startScheduler(index, vm.host, vm.failureDomain)
      await waitFor(`${vm.id} is ready`, async () =>
        await fetch(`${vm.operatorUrl}/readyz`).then(({ ok }) => ok, () => false))
    }
    const results = [...await lookUps.stop(), ...await reports.stop()]
    expect(Object.keys(countOutcomes(results)), JSON.stringify(countOutcomes(results))).to.deep.equal(['answered'])
    const { repeated } = await callControl(cell.endpointsUrl, 'requests')
    const reportIds = new Set(results.filter(({ body }) => body.includes('lineage-reports')).map(({ id }) => id))
    expect(Object.keys(repeated).filter((id) => reportIds.has(id))).to.deep.equal([])
    await checkInvariants(cell)
  })
})
