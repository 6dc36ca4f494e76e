import { readdirSync, readFileSync } from 'node:fs'
import path from 'node:path'
import { expect } from 'chai'

const SOURCE = 'packages/daemon/src'

/** `Lease` names its metrics after the prefix of its rows. */
const LEASE_PREFIX = /^\$\{this\.#prefix\}/
const LEASE_PREFIXES = ['shard', 'slots']

const METRIC_CALL = /metrics\s*\??\.(count|set|recordDuration)\(/g
const NAMED_CALL = /metrics\s*\??\.(count|set|recordDuration)\(\s*['`]([^'`]+)['`]/g

const exportedNames: Record<string, (name: string) => string> = {
  count: (name) => `gypsumspring_${name}_total`,
  set: (name) => `gypsumspring_${name}`,
  recordDuration: (name) => `gypsumspring_${name}_seconds`
}

function readSources (): Array<{ file: string, text: string }> {
  return readdirSync(SOURCE, { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.ts') && !file.endsWith('test.ts') && !file.includes('testSupport'))
    .map((file) => ({ file, text: readFileSync(path.join(SOURCE, file), 'utf8') }))
}

function listEmittedNames (text: string): string[] {
  return [...text.matchAll(NAMED_CALL)].flatMap(([, call = '', name = '']) => {
    const names = LEASE_PREFIX.test(name) ? LEASE_PREFIXES.map((prefix) => name.replace(LEASE_PREFIX, prefix)) : [name]
    return names.map((each) => exportedNames[call]?.(each) ?? '')
  })
}

describe('docs/operators.md', () => {
  const sources = readSources()
  const page = readFileSync('docs/operators.md', 'utf8')
  const emitted = new Set(sources.flatMap(({ text }) => listEmittedNames(text)))
  // Table rows whose first column is the name of a metric.
  const listed = new Set([...page.matchAll(/^\| `(gypsumspring_[a-z_]+)`/gm)].map(([, name]) => name as string))

  it('can be compared with the source, since every metric there has a literal name', () => {
    for (const { file, text } of sources) {
      expect([...text.matchAll(NAMED_CALL)].length, file).to.equal([...text.matchAll(METRIC_CALL)].length)
    }
    expect(emitted.size).to.be.above(30)
    expect([...emitted].filter((name) => !/^[a-z_]+$/.test(name))).to.deep.equal([])
  })

  it('lists exactly the metrics that the source emits', () => {
    expect([...listed].sort()).to.deep.equal([...emitted].sort())
  })
})
