import { expect } from 'chai'
import { Lifecycle } from './index.ts'

describe('Lifecycle', () => {
  it('starts components in order and stops them in reverse order', async () => {
    const events: string[] = []
    const lifecycle = new Lifecycle()
    for (const name of ['a', 'b']) {
      lifecycle.add({ name, start: () => { events.push(`start ${name}`) }, stop: () => { events.push(`stop ${name}`) } })
    }
    await lifecycle.start()
    await lifecycle.stop()
    expect(events).to.deep.equal(['start a', 'start b', 'stop b', 'stop a'])
  })

  it('rejects when a component fails to start', async () => {
    const lifecycle = new Lifecycle()
    lifecycle.add({ name: 'a', start: () => { throw new Error('port in use') } })
    const error = await lifecycle.start().then(() => undefined, (reason: Error) => reason)
    expect(error).to.have.property('message', 'port in use')
  })
})
