import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { expect } from 'chai'
import type { Inventory } from '@gypsumspring/adapters'
import { done, notDone } from '@gypsumspring/protocol'
import { CachedInventory } from './index.ts'

describe('CachedInventory', () => {
  let clock: Clock
  let reads: number
  let fails: boolean
  let inventory: CachedInventory

  beforeEach(() => {
    clock = FakeTimers.install({ toFake: ['performance'] })
    reads = 0
    fails = false
    const source: Inventory = {
      list: async () => {
        reads++
        return fails ? notDone('unavailable', 'down') : done([])
      }
    }
    inventory = new CachedInventory(source, 1000)
  })

  afterEach(() => clock.uninstall())

  const cases = [
    { name: 'reads once for two calls at the same time', gaps: [0], failing: false, reads: 1 },
    { name: 'reuses a recent response', gaps: [999], failing: false, reads: 1 },
    { name: 'reads again when the response has expired', gaps: [1000], failing: false, reads: 2 },
    { name: 'does not cache a failure', gaps: [1], failing: true, reads: 2 }
  ]
  for (const { name, gaps, failing, reads: expected } of cases) {
    it(name, async () => {
      fails = failing
      await inventory.list()
      for (const gap of gaps) {
        clock.tick(gap)
        await inventory.list()
      }
      expect(reads).to.equal(expected)
    })
  }
})
