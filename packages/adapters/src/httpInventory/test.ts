import { expect } from 'chai'
import { startRawServer } from '../_lib/startRawServer.ts'
import { connectPlatform } from '../connectPlatform/index.ts'

const MACHINE = { id: 'w', kind: 'worker', failureDomain: 'a', rack: 'r', address: '127.0.0.1:1', state: 'live' }
const DEPTH = 100_000
const NESTED = '['.repeat(DEPTH) + ']'.repeat(DEPTH)

/** A machine with a value in the place of one field, given as JSON text. */
function replaceField (field: string, json: string): string {
  return JSON.stringify({ ...MACHINE, id: 'odd', [field]: '@' }).replace('"@"', json)
}

// One entry that can't be read hid all machines, or ended the call with an exception.
describe('HttpInventory, beside a machine with', () => {
  const cases: Array<{ name: string, machine: string, logged?: string }> = [
    { name: 'a nested capacity', machine: replaceField('capacity', NESTED) },
    { name: 'a nested state', machine: replaceField('state', NESTED) },
    { name: 'a capacity beyond all numbers', machine: replaceField('capacity', '{"cpuMillis":1e400,"memoryMb":1,"accelerators":0}') },
    { name: 'a negative capacity', machine: replaceField('capacity', '{"cpuMillis":-1,"memoryMb":1,"accelerators":0}') },
    { name: 'a port out of range', machine: replaceField('address', '"127.0.0.1:99999"') },
    { name: 'a path in its address', machine: replaceField('address', '"127.0.0.1:1/a"') },
    { name: 'a kind that is not known', machine: replaceField('kind', '"other"') },
    { name: 'a number as its id', machine: replaceField('id', '7'), logged: '' },
    { name: 'no fields', machine: '{}', logged: '' },
    { name: 'nothing but null', machine: 'null', logged: '' },
    { name: 'nested lists in its place', machine: NESTED, logged: '' }
  ]
  for (const { name, machine, logged = 'odd' } of cases) {
    it(`${name}, lists the others`, async () => {
      const body = `{"machines":[${JSON.stringify(MACHINE)},${machine},${JSON.stringify({ ...MACHINE, id: 'v' })}]}`
      const bytes = `HTTP/1.1 200 OK\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
      const server = await startRawServer({ bytes, action: 'hold' })
      const malformed: string[] = []
      const platform = connectPlatform({
        platformUrl: `http://${server.address}`, onMalformedMachine: (id) => { malformed.push(id) }
      })
      try {
        const machines = (await platform.inventory.list()).orDefault([])
        expect(machines.map(({ id }) => id)).to.deep.equal(['w', 'v'])
        expect(malformed).to.deep.equal([logged])
      } finally {
        await platform.close()
        await server.close()
      }
    })
  }
})
