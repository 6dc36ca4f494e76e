import { expect } from 'chai'
import { chooseConnectionsToClose } from './index.ts'

const NOW = 10_000

describe('chooseConnectionsToClose', () => {
  const silent = { name: 'silent', phase: 'idle', heldBytes: 0, expectedBytes: 0, progressAt: 0 } as const
  const large = { name: 'large', phase: 'receiving', heldBytes: 200_000, expectedBytes: 262_144, progressAt: NOW } as const
  const stalled = { ...large, name: 'stalled', progressAt: NOW - 500 } as const
  const small = { name: 'small', phase: 'receiving', heldBytes: 30_000, expectedBytes: 30_200, progressAt: NOW - 900 } as const
  const smallStalled = { ...small, name: 'small and stalled', progressAt: NOW - 2_000 } as const
  const handled = { ...stalled, name: 'handled', phase: 'handled' } as const

  const cases = [
    { name: 'what holds most for longest, before others', connections: [silent, large, stalled], expected: ['stalled', 'large', 'silent'] },
    // Guards against refusing a job that is about to be accepted or was accepted.
    { name: 'neither small bodies that progress nor requests that were passed on', connections: [small, handled], expected: [] },
    { name: 'small bodies that have stalled', connections: [small, smallStalled], expected: ['small and stalled'] }
  ]
  for (const { name, connections, expected } of cases) {
    it(`chooses ${name}`, () => {
      const chosen = chooseConnectionsToClose<typeof silent | typeof large | typeof stalled | typeof small |
        typeof smallStalled | typeof handled>(connections, NOW, () => false)
      expect(chosen.map((connection) => connection.name)).to.deep.equal(expected)
    })
  }

  it('chooses no more than are needed', () => {
    expect(chooseConnectionsToClose([silent, large], NOW, () => true)).to.have.length(1)
  })
})
