import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import split from 'split2'
import { once } from 'node:events'
import { expect } from 'chai'
import { LinkProxy, startProcess } from '@gypsumspring/standins'
import { sleep } from '../sleep/index.ts'
import { RpcClient } from './RpcClient.ts'
import { RpcServer, type RpcFault } from './RpcServer.ts'
import { MAX_FRAME_BYTES } from './constants/index.ts'

const params = { from: 'a', configVersion: 3, atLeast: 1 }

describe('RpcClient and RpcServer', () => {
  let server: RpcServer
  let client: RpcClient
  let port: number
  let faults: RpcFault[]

  beforeEach(async () => {
    faults = []
    server = new RpcServer(
      { 'config.fetch': () => ({ index: null }), 'shard.status': () => new Promise(() => {}) },
      { onFault: (fault) => faults.push(fault) })
    port = await server.listen(0, '127.0.0.1')
    client = new RpcClient(`127.0.0.1:${port}`)
  })

  afterEach(async () => {
    client.close()
    await server.close()
  })

  it('returns the result of a valid call', async () => {
    const outcome = await client.call('config.fetch', params)
    expect(outcome.extract()).to.deep.equal({ index: null })
  })

  it('reports a call without a response as unknown, since the peer may have processed it', async () => {
    const outcome = await client.call('shard.status', { from: 'a', configVersion: 1 }, { timeoutMs: 20 })
    expect(outcome.extract()).to.include({ certainty: 'unknown', reason: 'timeout' })
  })

  it('reports a refused connection as not-done', async () => {
    await server.close()
    const outcome = await client.call('config.fetch', params)
    expect(outcome.extract()).to.include({ certainty: 'not-done', reason: 'unavailable' })
  })

  it('reports a connection lost during a call as unknown and reconnects for the next call', async () => {
    const pending = client.call('shard.status', { from: 'a', configVersion: 1 })
    await client.call('config.fetch', params)
    await server.close()
    expect((await pending).extract()).to.include({ certainty: 'unknown', reason: 'closed' })
    await server.listen(port, '127.0.0.1')
    expect((await client.call('config.fetch', params)).isRight()).to.equal(true)
  })

  it('rejects params that violate the schema and names the invalid field', async () => {
    const outcome = await client.call('config.fetch', { ...params, atLeast: 'x' as unknown as number })
    expect(outcome.extract()).to.include({ certainty: 'not-done', reason: 'invalid' })
    expect(outcome.extract()).to.have.property('message').that.includes('/atLeast is "x"')
    expect(faults).to.deep.equal(['invalid-params'])
  })

  const invalidFrames: Array<{ name: string, bytes: string | Buffer, end: boolean, fault: RpcFault }> = [
    { name: 'text that is not JSON', bytes: 'not json\n', end: false, fault: 'invalid-json' },
    { name: 'binary data', bytes: Buffer.from([0xff, 0x00, 0x80, 0x0a]), end: false, fault: 'invalid-json' },
    { name: 'an incomplete frame', bytes: '{"jsonrpc":"2.0","id":1,"meth', end: true, fault: 'torn-frame' },
    { name: 'an oversized frame', bytes: Buffer.alloc(MAX_FRAME_BYTES + 2, 0x61), end: false, fault: 'oversized-frame' },
    { name: 'JSON that is not a request', bytes: '{"hello":1}\n', end: false, fault: 'invalid-request' }
  ]
  for (const { name, bytes, end, fault } of invalidFrames) {
    it(`closes only the connection that sent ${name}`, async () => {
      await client.call('config.fetch', params)
      const socket = connect(port, '127.0.0.1')
      socket.on('error', () => {})
      await once(socket, 'connect')
      if (end) socket.end(bytes)
      else socket.write(bytes)
      socket.resume()
      await once(socket, 'close')
      expect(faults).to.deep.equal([fault])
      expect((await client.call('config.fetch', params)).isRight()).to.equal(true)
    })
  }
})

/** A server for tests whose answers are written by hand, and a client of it. */
interface RawPeer {
  client: RpcClient
  /** The accepted connections in order. */
  connections: Socket[]
  close: () => void
}

/** One call that has arrived: the indexes of its connection and on that connection, and how to send its response. */
interface ReceivedCall {
  connection: number
  call: number
  socket: Socket
  toFrame: (result: unknown) => string
}

async function servePeer (onCall: (received: ReceivedCall) => void): Promise<RawPeer> {
  const connections: Socket[] = []
  const server = createServer((socket) => {
    const connection = connections.push(socket) - 1
    let calls = 0
    socket.on('error', () => {})
    socket.pipe(split()).on('data', (line: string) => {
      const { id } = JSON.parse(line)
      const toFrame = (result: unknown) => `${JSON.stringify({ jsonrpc: '2.0', id, result })}\n`
      onCall({ connection, call: calls++, socket, toFrame })
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const client = new RpcClient(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  const close = () => {
    client.close()
    server.close()
    for (const socket of connections) socket.destroy()
  }
  return { client, connections, close }
}

/** Guards against large answers that never arrive over a slow link, because calls are given up while they come in. */
describe('RpcClient on a slow link', () => {
  const TIMEOUT_MS = 100
  const PART_INTERVAL_MS = 40

  let peer: RawPeer
  afterEach(() => peer.close())

  /** Serves answers, one after the other, that arrive in parts, of which only the first `sentParts` are sent. */
  async function serveInParts (parts: number, sentParts: number): Promise<void> {
    let delayMs = 0
    peer = await servePeer(({ socket, toFrame }) => {
      const frame = toFrame({ index: 'x'.repeat(90) })
      const size = Math.ceil(frame.length / parts)
      for (let part = 0; part < sentParts; part++) {
        delayMs += PART_INTERVAL_MS
        setTimeout(() => socket.write(frame.slice(part * size, (part + 1) * size)), delayMs)
      }
    })
  }

  const cases: Array<{ name: string, parts: number, sentParts: number, isAnswered: boolean }> = [
    { name: 'waits for an answer that keeps arriving after the timeout', parts: 8, sentParts: 8, isAnswered: true },
    { name: 'times out when an answer stops arriving', parts: 8, sentParts: 4, isAnswered: false },
    { name: 'times out when nothing arrives', parts: 8, sentParts: 0, isAnswered: false }
  ]
  for (const { name, parts, sentParts, isAnswered } of cases) {
    it(name, async () => {
      await serveInParts(parts, sentParts)
      const outcome = await peer.client.call('config.fetch', params, { timeoutMs: TIMEOUT_MS })
      if (isAnswered) expect(outcome.isRight()).to.equal(true)
      else expect(outcome.extract()).to.include({ certainty: 'unknown', reason: 'timeout' })
    })
  }

  it('waits for an answer behind a large one on the same connection', async () => {
    await serveInParts(8, 8)
    const calls = [1, 2].map(() => peer.client.call('config.fetch', params, { timeoutMs: TIMEOUT_MS }))
    expect((await Promise.all(calls)).map((outcome) => outcome.isRight())).to.deep.equal([true, true])
  })
})

/** Guards against connections that went silent without being closed, over which every call would time out. */
describe('RpcClient on a connection that is not answered', () => {
  let peer: RawPeer
  afterEach(() => peer.close())

  /** Serves connections whose `answer` decides, by connection and call, after how many ms a call is answered. */
  async function serve (answer: (connection: number, call: number) => number | undefined): Promise<void> {
    peer = await servePeer(({ connection, call, socket, toFrame }) => {
      const delayMs = answer(connection, call)
      if (delayMs !== undefined) setTimeout(() => socket.write(toFrame({ index: null })), delayMs)
    })
  }

  const call = (timeoutMs: number) => peer.client.call('config.fetch', params, { timeoutMs })

  it('opens a new connection for the next call', async () => {
    await serve((connection) => connection === 0 ? undefined : 0)
    expect((await call(50)).extract()).to.include({ certainty: 'unknown', reason: 'timeout' })
    expect((await call(200)).isRight()).to.equal(true)
  })

  it('lets the calls that are pending on the old connection end, and then closes it', async () => {
    await serve((connection, index) => connection === 0 && index === 1 ? undefined : 100)
    const pending = call(1_000)
    expect((await call(50)).isLeft()).to.equal(true)
    expect((await call(1_000)).isRight()).to.equal(true)
    expect((await pending).isRight()).to.equal(true)
    expect(peer.connections.length).to.equal(2)
    const [first] = peer.connections
    if (!first!.closed) await once(first!, 'close')
  })

  it('reports a timeout, and no refusal, when the peer does not react to a new connection', async () => {
    const script = `require('net').createServer().listen({ port: 0, host: '127.0.0.1', backlog: 1 }, function () {
      console.log(JSON.stringify({ ready: true, port: this.address().port })) })`
    const server = await startProcess('-e', { args: [script] })
    server.pause()
    // The kernel accepts connections on behalf of the paused process until the backlog is full.
    const connections = Array.from({ length: 4 }, () =>
      connect(server.ready.port, '127.0.0.1').on('error', () => {}))
    const client = new RpcClient(`127.0.0.1:${server.ready.port}`)
    const close = () => {
      client.close()
      for (const socket of connections) socket.destroy()
    }
    peer = { client, connections, close }
    await once(connections[0]!, 'connect')
    expect((await call(50)).extract()).to.include({ certainty: 'not-done', reason: 'timeout' })
    await server.kill()
  })

  it('keeps a connection on which other answers arrive', async () => {
    await serve((_, index) => index === 1 ? undefined : 20)
    const pending = call(1_000)
    expect((await call(50)).isLeft()).to.equal(true)
    expect((await pending).isRight()).to.equal(true)
    expect((await call(1_000)).isRight()).to.equal(true)
    expect(peer.connections.length).to.equal(1)
  })
})

/** Guards against connections that a process keeps for ever because the other side never ends them. */
describe('An RPC connection without traffic', () => {
  const LIMIT_MS = 100
  let server: RpcServer
  let link: LinkProxy
  let client: RpcClient
  const call = () => client.call('config.fetch', params, { timeoutMs: 50 })

  async function open (options: { abandonedAfterMs?: number, idleAfterMs?: number }): Promise<void> {
    server = new RpcServer({ 'config.fetch': () => ({ index: null }) }, options)
    link = new LinkProxy(`127.0.0.1:${await server.listen(0, '127.0.0.1')}`)
    client = new RpcClient(await link.listen(), options.idleAfterMs)
    expect((await call()).isRight()).to.equal(true)
  }
  afterEach(async () => {
    client.close()
    await link.close()
    await server.close()
  })

  it('is closed by the server after its client has replaced it', async () => {
    await open({ abandonedAfterMs: LIMIT_MS })
    link.silence()
    expect((await call()).isLeft()).to.equal(true)
    for (let waitedMs = 0; waitedMs < 3 * LIMIT_MS; waitedMs += LIMIT_MS / 2) {
      expect((await call()).isRight()).to.equal(true)
      await sleep(LIMIT_MS / 2)
    }
    expect(server.connections).to.equal(1)
  })

  it('is closed by the client when it is not used, and reopened for the next call', async () => {
    await open({ idleAfterMs: LIMIT_MS })
    await sleep(3 * LIMIT_MS)
    expect(server.connections).to.equal(0)
    expect((await call()).isRight()).to.equal(true)
  })
})
