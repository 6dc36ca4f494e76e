import { expect } from 'chai'
import { loadSettings } from './index.ts'

const required = { role: 'entry', id: 'e1', failureDomain: 'a', platformUrl: 'http://127.0.0.1:1' }

describe('loadSettings', () => {
  it('prefers flags to the environment and the environment to defaults, and reports the source of each setting', () => {
    const { settings, sources } = loadSettings(
      { ...required, rpcPort: 7000 }, { GYPSUMSPRING_RPC_PORT: '7001', GYPSUMSPRING_FLUSH_MS: '50' }).unsafeCoerce()
    expect(settings).to.include({ rpcPort: 7000, flushMs: 50, shardLeaseMs: 10_000 })
    expect(sources).to.include({ rpcPort: 'flag', flushMs: 'environment', shardLeaseMs: 'default' })
  })

  const cases = [
    { name: 'a missing setting', flags: { ...required, role: undefined }, environment: {}, path: '--role (GYPSUMSPRING_ROLE)' },
    { name: 'an unknown role', flags: { ...required, role: 'king' }, environment: {}, path: '--role (GYPSUMSPRING_ROLE)' },
    { name: 'a port out of range', flags: { ...required, rpcPort: 70_000 }, environment: {}, path: '--rpc-port (GYPSUMSPRING_RPC_PORT)' },
    { name: 'an unknown flag', flags: { ...required, prot: 1 }, environment: {}, path: '--prot' },
    { name: 'an unknown variable', flags: required, environment: { GYPSUMSPRING_PROT: '1' }, path: 'GYPSUMSPRING_PROT' }
  ]
  for (const { name, flags, environment, path } of cases) {
    it(`rejects ${name} and reports its name`, () => {
      const violations = loadSettings(flags, environment).swap().unsafeCoerce()
      expect(violations[0]).to.have.property('path', path)
    })
  }
})
