import { expect } from 'chai'
import { parseManifest } from './index.ts'

const quota = '{ cpuMillis: 1000, memoryMb: 512, accelerators: 0 }'
const validManifest = `
scope: demo
teams: [{ id: a, quota: ${quota} }]
workloads: [{ id: w, team: a, kind: batch, tasks: 1, resources: ${quota} }]
`

describe('parseManifest', () => {
  it('accepts a valid manifest in YAML and JSON and fills in default values', () => {
    const manifest = parseManifest(validManifest).unsafeCoerce()
    expect(manifest).to.have.property('packingWeight', 0.5)
    expect(parseManifest(JSON.stringify(manifest)).extract()).to.deep.equal(manifest)
  })

  const cases = [
    { name: 'invalid YAML', text: 'a: [', path: '/' },
    { name: 'an unknown field', text: `${validManifest}colour: red`, path: '/colour' },
    { name: 'an unknown workload kind', text: validManifest.replace('batch', 'cron'), path: '/workloads/0/kind', value: '"cron"', allowed: 'one of "service", "batch", "gang"' },
    { name: 'a number out of range', text: validManifest.replace('tasks: 1', 'tasks: 0'), path: '/workloads/0/tasks', value: '0' },
    { name: 'a missing required list', text: 'scope: demo', path: '/teams' },
    { name: 'an unknown team', text: validManifest.replace('team: a', 'team: b'), path: '/workloads/0/team', value: '"b"', allowed: 'a team declared in this manifest: a' },
    { name: 'a duplicate team ID', text: validManifest.replace('teams: [', `teams: [{ id: a, quota: ${quota} }, `), path: '/teams/1/id', value: '"a"' }
  ]
  for (const { name, text, ...expected } of cases) {
    it(`reports path, value and allowed values for ${name}`, () => {
      const violations = parseManifest(text).swap().unsafeCoerce()
      expect(violations[0]).to.include(expected)
    })
  }
})
