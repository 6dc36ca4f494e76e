import { expect } from 'chai'
import type { Manifest } from '@gypsumspring/protocol'
import { diffManifests } from './index.ts'

const quota = { cpuMillis: 1, memoryMb: 1, accelerators: 0 }
const base: Manifest = { scope: 's', packingWeight: 0.5, teams: [{ id: 'a', quota }] }

describe('diffManifests', () => {
  const cases: Array<{ name: string, current: Manifest | undefined, next: Manifest, lines: string[] }> = [
    { name: 'no changes between equal manifests', current: base, next: structuredClone(base), lines: [] },
    { name: 'all items of a new scope as added', current: undefined, next: base, lines: ['~ packingWeight: none -> 0.5', '+ team a'] },
    { name: 'a removed team', current: base, next: { ...base, teams: [] }, lines: ['- team a'] },
    {
      name: 'a changed field',
      current: base,
      next: { ...base, teams: [{ id: 'a', quota: { ...quota, cpuMillis: 2 } }] },
      lines: ['~ team a quota: {"cpuMillis":1,"memoryMb":1,"accelerators":0} -> {"cpuMillis":2,"memoryMb":1,"accelerators":0}']
    }
  ]
  for (const { name, current, next, lines } of cases) {
    it(`lists ${name}`, () => expect(diffManifests(current, next)).to.deep.equal(lines))
  }
})
