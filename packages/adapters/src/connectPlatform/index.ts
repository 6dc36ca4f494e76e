import { ConnectionPool } from '../_lib/ConnectionPool.ts'
import { MAX_PLATFORM_CONNECTIONS, DEFAULT_STORE_TIMEOUT_MS } from '../constants/index.ts'
import { HttpInventory } from '../httpInventory/index.ts'
import { HttpObjectStore } from '../httpObjectStore/index.ts'
import { HttpRunnerClient } from '../httpRunnerClient/index.ts'
import { HttpTable } from '../httpTable/index.ts'
import { HttpWorkerConnector } from '../httpWorkerConnector/index.ts'
import type { Platform } from '../types.ts'

interface PlatformOptions {
  /** Base URL of the platform. */
  platformUrl: string
  /** Timeout of calls to the table service, the object store and the inventory, in ms. Default: 1,000. */
  storeTimeoutMs?: number
  /** Timeout of calls to a worker, in ms. Default: 2,000. */
  workerTimeoutMs?: number
  /** Called once with the id of each malformed VM in the inventory, which is left out. Default: does nothing. */
  onMalformedMachine?: (id: string) => void
}

/**
 * Creates HTTP clients for all external services. No connection is opened before the first call.
 *
 * @param options - Address and timeouts.
 * @returns The clients, with `close` to close all connections; later calls fail with reason `closed`.
 * @throws TypeError if `platformUrl` is not a URL.
 *
 * @example
 * const platform = connectPlatform({ platformUrl: 'http://127.0.0.1:8100', storeTimeoutMs: 1000 })
 * await platform.table.read('config/current')
 * await platform.close()
 */
export function connectPlatform (options: PlatformOptions): Platform & { close (): Promise<void> } {
  const storeTimeoutMs = options.storeTimeoutMs ?? DEFAULT_STORE_TIMEOUT_MS
  const pool = new ConnectionPool(options.platformUrl, MAX_PLATFORM_CONNECTIONS)
  const workers = new HttpWorkerConnector({ timeoutMs: options.workerTimeoutMs })
  const runners = new HttpRunnerClient()
  return {
    table: new HttpTable(pool, storeTimeoutMs),
    objects: new HttpObjectStore(pool, storeTimeoutMs),
    inventory: new HttpInventory(pool, storeTimeoutMs, options.onMalformedMachine),
    workers,
    runners,
    close: async () => { await Promise.all([pool.close(), workers.close(), runners.close()]) }
  }
}
