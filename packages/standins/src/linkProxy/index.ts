import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** Direction of traffic: to the proxy's target, to its clients, or both. */
export type LinkDirection = 'to-target' | 'to-client' | 'both'

interface Chunk {
  /** When to forward the chunk, on the clock of `performance.now()`, in ms. */
  dueAt: number
  /** Undefined marks the end of the stream. */
  bytes: Buffer | undefined
}

/**
 * Bytes buffered per direction of a connection. Beyond that, reading pauses, which slows the sender down as a full send
 * buffer does.
 */
const MAX_BUFFERED_BYTES = 1024 * 1024

/** The same for a link with a limited rate, so that its connections take turns. */
const MAX_BUFFERED_BYTES_AT_LIMITED_RATE = 64 * 1024

/** One direction of the link, which all connections share. */
class Channel {
  delayMs = 0
  /** Bytes per ms; without a limit, chunks only wait for the delay. */
  rate = Infinity
  /** When the last byte that was accepted so far has left, on the clock of `performance.now()`, in ms. */
  #busyUntil = 0

  get maxBufferedBytes (): number {
    return this.rate === Infinity ? MAX_BUFFERED_BYTES : MAX_BUFFERED_BYTES_AT_LIMITED_RATE
  }

  /** Accepts a chunk for sending and returns when it arrives, on the clock of `performance.now()`, in ms. */
  send (size: number): number {
    this.#busyUntil = Math.max(this.#busyUntil, performance.now()) + size / this.rate
    return this.#busyUntil + this.delayMs
  }
}

/** Forwards one direction of a connection, with a delay; buffers while the direction is partitioned. */
class Forwarder {
  readonly #from: Socket
  readonly #to: Socket
  readonly #channel: Channel
  #buffered: Chunk[] = []
  #bufferedBytes = 0
  #partitioned = false
  #timer: ReturnType<typeof setTimeout> | undefined

  constructor (from: Socket, to: Socket, channel: Channel) {
    this.#from = from
    this.#to = to
    this.#channel = channel
    from.on('data', (bytes) => this.#enqueue(bytes))
    from.on('end', () => this.#enqueue(undefined))
    to.on('drain', () => this.#flush())
  }

  setPartitioned (partitioned: boolean): void {
    this.#partitioned = partitioned
    this.#flush()
  }

  /** Drops the buffered bytes. */
  discard (): void {
    clearTimeout(this.#timer)
    this.#buffered = []
  }

  #enqueue (bytes: Buffer | undefined): void {
    this.#buffered.push({ dueAt: this.#channel.send(bytes?.length ?? 0), bytes })
    this.#bufferedBytes += bytes?.length ?? 0
    if (this.#bufferedBytes > this.#channel.maxBufferedBytes) this.#from.pause()
    this.#flush()
  }

  #flush (): void {
    clearTimeout(this.#timer)
    while (!this.#partitioned && this.#buffered.length > 0 && !this.#to.writableNeedDrain) {
      const [chunk] = this.#buffered as [Chunk]
      const waitMs = chunk.dueAt - performance.now()
      if (waitMs > 0) {
        this.#timer = setTimeout(() => this.#flush(), Math.ceil(waitMs))
        return
      }
      this.#buffered.shift()
      this.#bufferedBytes -= chunk.bytes?.length ?? 0
      if (chunk.bytes === undefined) this.#to.end()
      else this.#to.write(chunk.bytes)
    }
    if (this.#bufferedBytes <= this.#channel.maxBufferedBytes) this.#from.resume()
  }
}

/**
 * Closes a socket with a TCP reset. While the end of the stream is being sent, a reset fails and Node never closes the
 * socket, so it is destroyed instead.
 */
function resetSocket (socket: Socket): void {
  if (socket.writableEnded) socket.destroy()
  else socket.resetAndDestroy()
}

interface Connection {
  sockets: [Socket, Socket]
  toTarget: Forwarder
  toClient: Forwarder
  /** Forwards nothing, whatever happens to the link. */
  isSilent: boolean
}

/**
 * A TCP proxy on loopback that simulates faults of the network between two processes. During a partition no bytes are
 * forwarded and no connection is closed; after `heal` the buffered bytes arrive, as TCP retransmits them after a short
 * partition. New connections are still accepted during a partition, since a process in user space can't drop the first
 * packet (SYN); use `disconnect` to refuse them.
 */
export class LinkProxy {
  readonly #target: { host: string, port: number }
  readonly #server: Server
  readonly #connections = new Set<Connection>()
  #partitioned = { 'to-target': false, 'to-client': false }
  readonly #channels = { 'to-target': new Channel(), 'to-client': new Channel() }
  #port = 0

  /** @param target - IP address and port of the process to forward to. */
  constructor (target: string) {
    const { hostname, port } = new URL(`tcp://${target}`)
    this.#target = { host: hostname.replace(/^\[|\]$/g, ''), port: Number(port) }
    this.#server = createServer({ allowHalfOpen: true }, (socket) => this.#accept(socket))
  }

  /** IP address and port for clients to connect to instead of the target. */
  get address (): string {
    return `127.0.0.1:${this.#port}`
  }

  /** Number of open connections. */
  get connections (): number {
    return this.#connections.size
  }

  /** Starts listening, on the same port as before if there was one. Resolves with the address. */
  listen (): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.#port, '127.0.0.1', () => {
        this.#server.off('error', reject)
        this.#port = (this.#server.address() as AddressInfo).port
        resolve(this.address)
      })
    })
  }

  /** Stops forwarding in a direction without closing connections. */
  partition (direction: LinkDirection = 'both'): void {
    this.#setPartitioned(direction, true)
  }

  /** Ends a partition and delivers the buffered bytes. */
  heal (direction: LinkDirection = 'both'): void {
    this.#setPartitioned(direction, false)
  }

  /** Sets the delay of each direction, in ms. */
  setDelay (delayMs: number): void {
    for (const channel of Object.values(this.#channels)) channel.delayMs = delayMs
  }

  /** Limits the bytes per second of each direction, for all connections together; `Infinity` ends the limit. */
  setRate (bytesPerSecond: number): void {
    for (const channel of Object.values(this.#channels)) channel.rate = bytesPerSecond / 1_000
  }

  /** Stops forwarding on the open connections for good, without closing them; new connections work. */
  silence (): void {
    for (const connection of this.#connections) {
      connection.isSilent = true
      this.#applyPartition(connection)
    }
  }

  /** Resets all connections. Buffered bytes are lost. */
  reset (): void {
    for (const { sockets, toTarget, toClient } of this.#connections) {
      toTarget.discard()
      toClient.discard()
      for (const socket of sockets) resetSocket(socket)
    }
  }

  /** Resets all connections and refuses new ones until `listen` is called. */
  async disconnect (): Promise<void> {
    const closed = new Promise<void>((resolve) => this.#server.close(() => resolve()))
    const sockets = [...this.#connections].flatMap(({ sockets }) => sockets).filter((socket) => !socket.closed)
    const closedSockets = sockets.map((socket) => once(socket, 'close'))
    this.reset()
    await Promise.all([closed, ...closedSockets])
  }

  /** Stops the proxy. Can be called after `disconnect`. */
  async close (): Promise<void> {
    await this.disconnect()
  }

  #setPartitioned (direction: LinkDirection, partitioned: boolean): void {
    if (direction !== 'to-client') this.#partitioned['to-target'] = partitioned
    if (direction !== 'to-target') this.#partitioned['to-client'] = partitioned
    for (const connection of this.#connections) this.#applyPartition(connection)
  }

  #applyPartition ({ toTarget, toClient, isSilent }: Connection): void {
    toTarget.setPartitioned(isSilent || this.#partitioned['to-target'])
    toClient.setPartitioned(isSilent || this.#partitioned['to-client'])
  }

  #accept (client: Socket): void {
    const target = connect({ ...this.#target, allowHalfOpen: true })
    for (const socket of [client, target]) socket.setNoDelay(true)
    const connection: Connection = {
      sockets: [client, target],
      toTarget: new Forwarder(client, target, this.#channels['to-target']),
      toClient: new Forwarder(target, client, this.#channels['to-client']),
      isSilent: false
    }
    this.#connections.add(connection)
    this.#applyPartition(connection)
    for (const [socket, other] of [[client, target], [target, client]] as const) {
      socket.on('error', () => resetSocket(other))
      socket.on('close', () => {
        if (client.destroyed && target.destroyed) this.#connections.delete(connection)
      })
    }
  }
}
