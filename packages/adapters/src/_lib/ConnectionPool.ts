import type { Client as UndiciClient } from 'undici'
import Client from 'undici/lib/dispatcher/client.js'
import { CONNECT_TIMEOUT_MS, IDLE_CONNECTION_MS } from '../constants/index.ts'

interface Waiter {
  signal: AbortSignal
  onAbort: () => void
  resolve: (client: UndiciClient | undefined) => void
}

/**
 * The connections to one origin, at most `limit` at a time, each used by one exchange at a time. undici's own pool is
 * not used because its limit can't be changed and because it hides whether a request still waits for a connection.
 */
export class ConnectionPool {
  /** Path of the base URL without a slash at the end; prefixed to every path. */
  readonly basePath: string
  readonly #origin: string
  readonly #open = new Set<UndiciClient>()
  readonly #idle: UndiciClient[] = []
  readonly #waiters = new Set<Waiter>()
  #limit: number
  #closed = false

  /**
   * @param url - Base URL: scheme, host, port and optionally a path.
   * @param limit - Largest number of connections.
   */
  constructor (url: string, limit: number) {
    const { origin, pathname } = new URL(url)
    this.#origin = origin
    this.basePath = pathname.replace(/\/+$/, '')
    this.#limit = limit
  }

  get closed (): boolean {
    return this.#closed
  }

  /** Resolves with a connection that the caller must release, or undefined when aborted or closed first. */
  acquire (signal: AbortSignal): Promise<UndiciClient | undefined> {
    if (this.#closed || signal.aborted) return Promise.resolve(undefined)
    const client = this.#take()
    if (client !== undefined) return Promise.resolve(client)
    return new Promise((resolve) => {
      const waiter: Waiter = { signal, resolve, onAbort: () => this.#settle(waiter, undefined) }
      signal.addEventListener('abort', waiter.onAbort)
      this.#waiters.add(waiter)
    })
  }

  /** Gives a connection back. A connection above the limit is closed. */
  release (client: UndiciClient): void {
    if (!this.#open.has(client)) return
    if (this.#open.size > this.#limit) this.#drop(client)
    else this.#idle.push(client)
    this.#serveWaiters()
  }

  /** Closes a connection that is in use and counts it no longer. */
  discard (client: UndiciClient): void {
    this.#drop(client)
    this.#serveWaiters()
  }

  /** Changes the largest number of connections. Surplus idle ones are closed now, those in use when released. */
  setLimit (limit: number): void {
    this.#limit = limit
    while (this.#open.size > limit && this.#idle.length > 0) this.#drop(this.#idle.shift()!)
    this.#serveWaiters()
  }

  /** Closes all connections and ends all waits. */
  async close (): Promise<void> {
    this.#closed = true
    for (const waiter of [...this.#waiters]) this.#settle(waiter, undefined)
    await Promise.all([...this.#open].map((client) => client.destroy()))
    this.#open.clear()
    this.#idle.length = 0
  }

  /** The connection used last comes first, so that surplus ones reach their idle time-out. */
  #take (): UndiciClient | undefined {
    const idle = this.#open.size > this.#limit ? undefined : this.#idle.pop()
    if (idle !== undefined) return idle
    if (this.#open.size >= this.#limit) return undefined
    const client = new Client(this.#origin, {
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: IDLE_CONNECTION_MS,
      keepAliveMaxTimeout: IDLE_CONNECTION_MS,
      // Each exchange has a deadline of its own.
      headersTimeout: 0,
      bodyTimeout: 0
    })
    this.#open.add(client)
    return client
  }

  #drop (client: UndiciClient): void {
    if (!this.#open.delete(client)) return
    client.destroy().catch((error) => { throw error })
  }

  #serveWaiters (): void {
    for (const waiter of this.#waiters) {
      const client = this.#take()
      if (client === undefined) return
      this.#settle(waiter, client)
    }
  }

  #settle (waiter: Waiter, client: UndiciClient | undefined): void {
    this.#waiters.delete(waiter)
    waiter.signal.removeEventListener('abort', waiter.onAbort)
    waiter.resolve(client)
  }
}
