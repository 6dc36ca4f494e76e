import { expect } from 'chai'
import { LinkProxy } from '../linkProxy/index.ts'
import type { Cell, EntryVm } from '../startCell/index.ts'
import { checkInvariants, startTestCell, waitFor } from './_support/cell.ts'
import { call, countOutcomes } from './_support/Load.ts'

const headers = { 'gs-team': 'balcao' }

/** Time in which an accepted configuration has to be in force everywhere; docs/design.md, section 1.6. */
const CONFIGURATION_LIMIT_MS = 9000

describe('a failure domain cut off from the platform', () => {
  const links = new Map<string, LinkProxy>()
  let cell: Cell
  let cut: EntryVm
  let whole: EntryVm

  before(async () => {
    cell = await startTestCell({
      platformUrlFor: async (failureDomain, platformUrl) => {
        let link = links.get(failureDomain)
        if (link === undefined) {
          link = new LinkProxy(new URL(platformUrl).host)
          links.set(failureDomain, link)
          await link.listen()
        }
        return `http://${link.address}`
      }
    })
    cut = cell.vms[0]!
    whole = cell.vms[1]!
  })
  after(async () => {
    await cell?.stop()
    for (const link of links.values()) await link.close()
  })

  async function readVersion (vm: EntryVm): Promise<number> {
    return await fetch(`${vm.operatorUrl}/v1/status`)
      .then(async (response) => ((await response.json()) as { configVersion: number }).configVersion, () => 0)
  }

  async function sendLookUps (vm: EntryVm, count: number) {
    return await Promise.all(Array.from({ length: count }, async (_value, index) =>
      await call(`${vm.callerUrl}/e/origem/surnames/${index}`, `cut-${performance.now()}-${index}`, { headers })))
  }

  it('serves look-ups, refuses what needs the store as not run, and learns configuration from peers (P4, P8)', async () => {
    await waitFor('look-ups are answered', async () =>
      (await sendLookUps(cut, 1)).every(({ outcome }) => outcome === 'answered'))
    links.get(cut.failureDomain)?.cut()
    const lookUps = await sendLookUps(cut, 60)
    expect(countOutcomes(lookUps)).to.deep.equal({ answered: 60 })
    const report = await call(`${cut.callerUrl}/e/origem/lineage-reports`, 'cut-report', {
      method: 'POST', headers: { ...headers, 'gs-attempt': '1' }
    })
    expect(report.outcome, report.body).to.equal('not-run')

    const before = await readVersion(cut)
    const applied = await cell.runCommand(['drain', 'origem', 'origem-1'], whole)
    expect(applied.code, applied.stderr).to.equal(0)
    await waitFor('the change is in force in the cut domain', async () => await readVersion(cut) > before,
      CONFIGURATION_LIMIT_MS)
  })

  it('restarts inside the cut without serving an older configuration than before (P8)', async () => {
    const before = await readVersion(cut)
    await cut.entry.kill()
    cut.entry = await cell.startEntry(0, cut.host, cut.failureDomain)
    const versions = new Set<number>()
    await waitFor('the restarted entry is ready', async () => {
      const version = await readVersion(cut)
      if (version > 0) versions.add(version)
      return version > 0
    })
    expect([...versions].every((version) => version >= before), `${[...versions]} after ${before}`).to.equal(true)
    links.get(cut.failureDomain)?.heal()
    await waitFor('a not-repeatable request is answered after the cut', async () => {
      const { outcome } = await call(`${cut.callerUrl}/e/origem/lineage-reports`, `healed-${performance.now()}`, { method: 'POST', headers })
      return outcome === 'answered'
    })
    await checkInvariants(cell)
  })
})
