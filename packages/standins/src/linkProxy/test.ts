import { expect } from 'chai'
import { connectPlatform } from '@gypsumspring/adapters'
import { servePlatform, type PlatformServer } from '../servePlatform/index.ts'
import { LinkProxy, type LinkDirection } from './index.ts'

const put = (key: string) => ({ checks: [], writes: [{ kind: 'put' as const, key, value: 1 }] })

describe('LinkProxy', () => {
  let server: PlatformServer
  let link: LinkProxy
  let platform: ReturnType<typeof connectPlatform>

  beforeEach(async () => {
    server = await servePlatform()
    link = new LinkProxy(new URL(server.url).host)
    platform = connectPlatform({ platformUrl: `http://${await link.listen()}`, storeTimeoutMs: 300 })
    expect((await platform.table.transact(put('first'))).isRight()).to.equal(true)
  })

  afterEach(async () => {
    await platform.close()
    await link.close()
    await server.close()
  })

  const partitions: Array<{ direction: LinkDirection, takesEffect: boolean }> = [
    { direction: 'to-target', takesEffect: false },
    { direction: 'to-client', takesEffect: true },
    { direction: 'both', takesEffect: false }
  ]
  for (const { direction, takesEffect } of partitions) {
    it(`reports an unknown outcome during a partition (${direction}); the write ${takesEffect ? 'takes' : 'has no'} effect`, async () => {
      link.partition(direction)
      const outcome = await platform.table.transact(put('a'))
      expect(outcome.extract()).to.include({ certainty: 'unknown', reason: 'timeout' })
      expect((await server.table.read('a')).extract() !== undefined).to.equal(takesEffect)
      // The buffered bytes arrive after the partition, like a request that the network delayed.
      link.heal(direction)
      while ((await server.table.read('a')).extract() === undefined) await new Promise((resolve) => setTimeout(resolve, 5))
      expect((await platform.table.read('a')).isRight()).to.equal(true)
    })
  }

  it('loses the buffered bytes when connections are reset during a partition', async () => {
    link.partition('to-target')
    const pending = platform.table.transact(put('a'))
    await new Promise((resolve) => setTimeout(resolve, 50))
    link.reset()
    expect((await pending).extract()).to.include({ certainty: 'unknown', reason: 'closed' })
    link.heal()
    expect((await platform.table.read('a')).unsafeCoerce()).to.equal(undefined)
  })

  it('silences open connections for good and serves new ones', async () => {
    link.silence()
    link.heal()
    expect((await platform.table.read('a')).extract()).to.include({ certainty: 'unknown', reason: 'timeout' })
    expect((await platform.table.read('a')).isRight()).to.equal(true)
  })

  it('refuses connections after disconnect and listens on the same port again', async () => {
    await link.disconnect()
    expect(link.connections).to.equal(0)
    expect((await platform.table.read('a')).extract()).to.include({ certainty: 'not-done', reason: 'unavailable' })
    await link.listen()
    expect((await platform.table.read('a')).isRight()).to.equal(true)
    await link.disconnect()
    await link.listen()
    expect((await platform.table.read('a')).isRight(), 'the client must replace an idle connection that was reset').to.equal(true)
  })

  it('forwards a large body complete and in order with a delay', async () => {
    link.setDelay(10)
    const bytes = Uint8Array.from({ length: 5_000_000 }, (_, index) => index % 251)
    const slow = connectPlatform({ platformUrl: `http://${link.address}`, storeTimeoutMs: 20_000 })
    await slow.objects.put('large', bytes)
    expect(Buffer.compare((await slow.objects.get('large')).unsafeCoerce()!, bytes)).to.equal(0)
    await slow.close()
  })

  it('shares a limited rate between connections', async () => {
    await server.objects.put('large', new Uint8Array(300_000))
    const slow = connectPlatform({ platformUrl: `http://${link.address}`, storeTimeoutMs: 20_000 })
    link.setRate(1_000_000)
    const startedAt = performance.now()
    await Promise.all([slow.objects.get('large'), slow.objects.get('large')])
    expect(performance.now() - startedAt).to.be.greaterThan(500)
    await slow.close()
  })

  it('resets the connection of the client when the target is gone', async () => {
    await server.close()
    expect((await platform.table.read('a')).extract()).to.include({ certainty: 'unknown', reason: 'closed' })
  })
})
