import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

export type LinkDirection = 'to-target' | 'to-client' | 'both'

interface Piece {
  /** Time of arrival plus delay, on the clock of `performance.now()`, in ms. */
  dueAt: number
  /** Undefined for the end of the stream. */
  bytes: Buffer | undefined
}

/** Bytes held in one direction of one connection before its sender is slowed down, as by a full send buffer. */
const MAX_HELD_BYTES = 1024 * 1024

/** One direction of one connection. */
class Flow {
  readonly #from: Socket
  readonly #to: Socket
  readonly #delayMs: () => number
  #held: Piece[] = []
  #heldBytes = 0
  #cut = false
  #timer: ReturnType<typeof setTimeout> | undefined

  constructor (from: Socket, to: Socket, delayMs: () => number) {
    this.#from = from
    this.#to = to
    this.#delayMs = delayMs
    from.on('data', (bytes) => this.#hold(bytes))
    from.on('end', () => this.#hold(undefined))
    to.on('drain', () => this.#forward())
  }

  setCut (cut: boolean): void {
    this.#cut = cut
    this.#forward()
  }

  stop (): void {
    clearTimeout(this.#timer)
    this.#held = []
  }

  #hold (bytes: Buffer | undefined): void {
    this.#held.push({ dueAt: performance.now() + this.#delayMs(), bytes })
    this.#heldBytes += bytes?.length ?? 0
    if (this.#heldBytes > MAX_HELD_BYTES) this.#from.pause()
    this.#forward()
  }

  #forward (): void {
    clearTimeout(this.#timer)
    while (!this.#cut && this.#held.length > 0 && !this.#to.writableNeedDrain) {
      const [piece] = this.#held as [Piece]
      const waitMs = piece.dueAt - performance.now()
      if (waitMs > 0) {
        this.#timer = setTimeout(() => this.#forward(), Math.ceil(waitMs))
        return
      }
      this.#held.shift()
      this.#heldBytes -= piece.bytes?.length ?? 0
      if (piece.bytes === undefined) this.#to.end()
      else this.#to.write(piece.bytes)
    }
    if (this.#heldBytes <= MAX_HELD_BYTES) this.#from.resume()
  }
}

/**
 * Resets a connection. Node leaves a socket open for good whose reset fails, as it does while its end is being sent.
 */
function breakOff (socket: Socket): void {
  if (socket.writableEnded) socket.destroy()
  else socket.resetAndDestroy()
}

interface Link {
  sockets: [Socket, Socket]
  toTarget: Flow
  toClient: Flow
}

/**
 * A TCP forwarder on loopback that stands for the network between two processes. A cut direction carries nothing and
 * closes nothing; after `heal` the bytes held back arrive, as TCP sends them again after a short partition. New
 * connections are still accepted during a cut, since a user process can't drop the first packet; `sever` refuses them.
 */
export class LinkProxy {
  readonly #target: { host: string, port: number }
  readonly #server: Server
  readonly #links = new Set<Link>()
  #cut = { 'to-target': false, 'to-client': false }
  #delayMs = 0
  #port = 0

  /** @param target - IP address and port to forward to. */
  constructor (target: string) {
    const { hostname, port } = new URL(`tcp://${target}`)
    this.#target = { host: hostname.replace(/^\[|\]$/g, ''), port: Number(port) }
    this.#server = createServer({ allowHalfOpen: true }, (socket) => this.#link(socket))
  }

  /** IP address and port to connect to instead of the target. */
  get address (): string {
    return `127.0.0.1:${this.#port}`
  }

  get connections (): number {
    return this.#links.size
  }

  /** Starts listening, on the same port as before if any. Resolves with the address. */
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

  /** Carries nothing in a direction from now on, without closing connections (black hole). */
  cut (direction: LinkDirection = 'both'): void {
    this.#setCut(direction, true)
  }

  /** Ends a cut. Bytes held back are delivered. */
  heal (direction: LinkDirection = 'both'): void {
    this.#setCut(direction, false)
  }

  /** Adds a delay to each direction, in ms. */
  delay (delayMs: number): void {
    this.#delayMs = delayMs
  }

  /** Breaks all connections with a reset. Bytes held back are lost. */
  reset (): void {
    for (const { sockets, toTarget, toClient } of this.#links) {
      toTarget.stop()
      toClient.stop()
      for (const socket of sockets) breakOff(socket)
    }
  }

  /** Breaks all connections and refuses new ones until `listen`. */
  async sever (): Promise<void> {
    const closed = new Promise<void>((resolve) => this.#server.close(() => resolve()))
    const sockets = [...this.#links].flatMap((link) => link.sockets).filter((socket) => !socket.closed)
    const ended = sockets.map((socket) => once(socket, 'close'))
    this.reset()
    await Promise.all([closed, ...ended])
  }

  /** Ends the proxy. Harmless when it is severed. */
  async close (): Promise<void> {
    await this.sever()
  }

  #setCut (direction: LinkDirection, cut: boolean): void {
    if (direction !== 'to-client') this.#cut['to-target'] = cut
    if (direction !== 'to-target') this.#cut['to-client'] = cut
    for (const link of this.#links) this.#applyCut(link)
  }

  #applyCut ({ toTarget, toClient }: Link): void {
    toTarget.setCut(this.#cut['to-target'])
    toClient.setCut(this.#cut['to-client'])
  }

  #link (client: Socket): void {
    const target = connect({ ...this.#target, allowHalfOpen: true })
    for (const socket of [client, target]) socket.setNoDelay(true)
    const delayMs = () => this.#delayMs
    const link: Link = {
      sockets: [client, target],
      toTarget: new Flow(client, target, delayMs),
      toClient: new Flow(target, client, delayMs)
    }
    this.#links.add(link)
    this.#applyCut(link)
    for (const [socket, other] of [[client, target], [target, client]] as const) {
      socket.on('error', () => breakOff(other))
      socket.on('close', () => {
        if (client.destroyed && target.destroyed) this.#links.delete(link)
      })
    }
  }
}
