import type { Client as UndiciClient } from 'undici'
import Client from 'undici/lib/dispatcher/client.js'
import { CONNECT_TIMEOUT_MS, IDLE_CONNECTION_TIMEOUT_MS } from '../constants/index.ts'

interface Waiter {
  signal: AbortSignal
  onAbort: () => void
  resolve: (client: UndiciClient | undefined) => void
}

/**
 * Pool of HTTP connections to one origin, with at most `limit` open at a time. Each connection carries one request at a
 * time. undici's own `Pool` is not used because its limit can't be changed and because it hides whether a request is
 * still waiting for a connection.
 */
export class ConnectionPool {
  /** Path of the base URL without a trailing slash; prefixed to every request path. */
  readonly basePath: string
  readonly #origin: string
  readonly #openClients = new Set<UndiciClient>()
  readonly #idleClients: UndiciClient[] = []
  readonly #waiters = new Set<Waiter>()
  /** Monotonic time at which each client has opened its connection, in ms. */
  readonly #connectedAt = new WeakMap<UndiciClient, number>()
  #limit: number
  #closed = false

  /**
   * @param url - Base URL: scheme, host, port and optionally a path.
   * @param limit - Maximum number of open connections.
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

  /**
   * Waits for a free connection.
   *
   * @param signal - Ends the wait.
   * @returns A connection that the caller must release or discard, or undefined if the signal aborts or the pool closes
   * first.
   */
  acquire (signal: AbortSignal): Promise<UndiciClient | undefined> {
    if (signal.aborted) return Promise.resolve(undefined)
    const client = this.tryAcquire()
    if (client !== undefined || this.#closed) return Promise.resolve(client)
    return new Promise((resolve) => {
      const waiter: Waiter = { signal, resolve, onAbort: () => this.#resolveWaiter(waiter, undefined) }
      signal.addEventListener('abort', waiter.onAbort)
      this.#waiters.add(waiter)
    })
  }

  /** Returns a connection to the pool. It is closed if more connections are open than the limit allows. */
  release (client: UndiciClient): void {
    if (!this.#openClients.has(client)) return
    if (this.#openClients.size > this.#limit) this.#destroy(client)
    else this.#idleClients.push(client)
    this.#serveWaiters()
  }

  /** Closes a connection that is in use and removes it from the pool. */
  discard (client: UndiciClient): void {
    this.#destroy(client)
    this.#serveWaiters()
  }

  /** Changes the limit. Surplus idle connections are closed now, surplus ones in use when they are released. */
  setLimit (limit: number): void {
    this.#limit = limit
    while (this.#openClients.size > limit && this.#idleClients.length > 0) this.#destroy(this.#idleClients.shift()!)
    this.#serveWaiters()
  }

  /** Closes all connections; pending `acquire` calls resolve with undefined. */
  async close (): Promise<void> {
    this.#closed = true
    for (const waiter of [...this.#waiters]) this.#resolveWaiter(waiter, undefined)
    await Promise.all([...this.#openClients].map((client) => client.destroy()))
    this.#openClients.clear()
    this.#idleClients.length = 0
  }

  /**
   * Returns a free connection, which the caller must release or discard; undefined if there is none. Prefers the most
   * recently used idle connection, so that unneeded ones reach their idle timeout.
   */
  tryAcquire (): UndiciClient | undefined {
    if (this.#closed) return undefined
    const idle = this.#openClients.size > this.#limit ? undefined : this.#idleClients.pop()
    if (idle !== undefined) return idle
    if (this.#openClients.size >= this.#limit) return undefined
    const client = new Client(this.#origin, {
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: IDLE_CONNECTION_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_CONNECTION_TIMEOUT_MS,
      // `Deadline` limits each request instead.
      headersTimeout: 0,
      bodyTimeout: 0
    })
    client.on('connect', () => { this.#connectedAt.set(client, performance.now()) })
    this.#openClients.add(client)
    return client
  }

  /** Whether the connection of a client was opened by a monotonic time, in ms. Clients replace closed connections. */
  isConnectedBefore (client: UndiciClient, time: number): boolean {
    return (this.#connectedAt.get(client) ?? Infinity) <= time
  }

  #destroy (client: UndiciClient): void {
    if (!this.#openClients.delete(client)) return
    client.destroy().catch((error) => { throw error })
  }

  #serveWaiters (): void {
    for (const waiter of this.#waiters) {
      const client = this.tryAcquire()
      if (client === undefined) return
      this.#resolveWaiter(waiter, client)
    }
  }

  #resolveWaiter (waiter: Waiter, client: UndiciClient | undefined): void {
    this.#waiters.delete(waiter)
    waiter.signal.removeEventListener('abort', waiter.onAbort)
    waiter.resolve(client)
  }
}
