import FakeTimers from '@sinonjs/fake-timers'
import { MemoryInventory } from '@gypsumspring/standins'
import { expect } from 'chai'
import { Metrics } from '../../metrics/index.ts'
import { InventoryWatch } from './index.ts'

const entryVm = (id: string, address: string) =>
  ({ id, kind: 'entry' as const, failureDomain: 'home', rack: 'r', address, state: 'live' as const })

describe('InventoryWatch', () => {
  it('reports an entry as gone only if it was listed before, and not while the inventory is unavailable', async () => {
    const clock = FakeTimers.install()
    const inventory = new MemoryInventory()
    const watch = new InventoryWatch({ inventory, intervalMs: 1000, onListed: () => {}, metrics: new Metrics() })
    inventory.put(entryVm('vm-1', '10.0.0.1:7000'))
    inventory.put(entryVm('vm-2', '10.0.0.2:7000'))
    watch.start()
    await clock.tickAsync(10)
    inventory.faults.set({ down: true })
    inventory.remove('vm-1')
    await clock.tickAsync(2000)
    expect(watch.hasLeft('e1', '10.0.0.1:7001')).to.equal(false)
    inventory.faults.clear()
    await clock.tickAsync(2000)
    expect(watch.hasLeft('e1', '10.0.0.1:7001')).to.equal(true)
    expect(watch.hasLeft('e2', '10.0.0.2:7001')).to.equal(false)
    expect(watch.hasLeft('e3', '10.0.0.3:7001')).to.equal(false)
    watch.close()
    clock.uninstall()
  })
})
