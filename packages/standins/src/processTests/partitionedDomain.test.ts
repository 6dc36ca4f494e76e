import { expect } from 'chai'
import { LinkProxy } from '../linkProxy/index.ts'
import type { Cell, EntryVm } from '../startCell/index.ts'
import { checkInvariants, startTestCell, waitFor } from './_support/cell.ts'
import { sendRequest, countOutcomes, describeUnanswered } from './_support/LoadGenerator.ts'

const headers = { 'gs-team': 'balcao' }

/** Time limit for an accepted configuration to be in force everywhere; docs/design.md, section 1.6. */
const MAX_CONFIGURATION_DELAY_MS = 9000

describe('a failure domain partitioned from the platform', () => {
  const links = new Map<string, LinkProxy>()
  let cell: Cell
  let isolatedVm: EntryVm
  let connectedVm: EntryVm

  before(async () => {
    cell = await startTestCell({
      getPlatformUrl: async (failureDomain, platformUrl) => {
        let link = links.get(failureDomain)
        if (link === undefined) {
          link = new LinkProxy(new URL(platformUrl).host)
          links.set(failureDomain, link)
          await link.listen()
        }
        return `http://${link.address}`
      }
    })
    isolatedVm = cell.vms[0]!
    connectedVm = cell.vms[1]!
  })
  after(async () => {
    await cell?.stop()
    for (const link of links.values()) await link.close()
  })

  async function readConfigVersion (vm: EntryVm): Promise<number> {
    return await fetch(`${vm.operatorUrl}/v1/status`)
      .then(async (response) => ((await response.json()) as { configVersion: number }).configVersion, () => 0)
  }

  async function sendLookUps (vm: EntryVm, count: number) {
    return await Promise.all(Array.from({ length: count }, async (_value, index) =>
      await sendRequest(`${vm.callerUrl}/e/origem/surnames/${index}`, `cut-${performance.now()}-${index}`, { headers })))
  }

  it('serves look-ups, refuses requests that need the store as not run, and gets new configuration from peers (P4, P8)', async () => {
    await waitFor('look-ups are answered', async () =>
      (await sendLookUps(isolatedVm, 1)).every(({ outcome }) => outcome === 'answered'))
    links.get(isolatedVm.failureDomain)?.partition()
    const lookUps = await sendLookUps(isolatedVm, 60)
    expect(countOutcomes(lookUps), describeUnanswered(lookUps)).to.deep.equal({ answered: 60 })
    const report = await sendRequest(`${isolatedVm.callerUrl}/e/origem/lineage-reports`, 'cut-report', {
      method: 'POST', headers: { ...headers, 'gs-attempt': '1' }
    })
    expect(report.outcome, report.body).to.equal('not-run')

    const before = await readConfigVersion(isolatedVm)
    const applied = await cell.runCommand(['drain', 'origem', 'origem-1'], connectedVm)
    expect(applied.code, applied.stderr).to.equal(0)
    await waitFor('the change is in force in the partitioned domain', async () => await readConfigVersion(isolatedVm) > before,
      MAX_CONFIGURATION_DELAY_MS)
  })

  it('restarts an entry during the partition without going back to an older configuration (P8)', async () => {
    const before = await readConfigVersion(isolatedVm)
    await isolatedVm.entry.kill()
    isolatedVm.entry = await cell.startEntry(0, isolatedVm.host, isolatedVm.failureDomain)
    const versions = new Set<number>()
    await waitFor('the restarted entry is ready', async () => {
      const version = await readConfigVersion(isolatedVm)
      if (version > 0) versions.add(version)
      return version > 0
    })
    expect([...versions].every((version) => version >= before), `${[...versions]} after ${before}`).to.equal(true)
    links.get(isolatedVm.failureDomain)?.heal()
    await waitFor('a non-repeatable request is answered after the partition', async () => {
      const { outcome } = await sendRequest(`${isolatedVm.callerUrl}/e/origem/lineage-reports`, `healed-${performance.now()}`, { method: 'POST', headers })
      return outcome === 'answered'
    })
    await checkInvariants(cell)
  })
})
