import { ConnectionPool } from '../_lib/ConnectionPool.ts'
import { PLATFORM_CONNECTIONS, STORE_TIMEOUT_MS } from '../constants/index.ts'
import { HttpInventory } from '../httpInventory/index.ts'
import { HttpObjectStore } from '../httpObjectStore/index.ts'
import { HttpRunnerClient } from '../httpRunnerClient/index.ts'
import { HttpTable } from '../httpTable/index.ts'
import { HttpWorkerConnector } from '../httpWorkerConnector/index.ts'
import type { Platform } from '../types.ts'

interface PlatformOptions {
  /** Base URL of the platform. */
  platformUrl: string
  /** Longest wait for the table service, the object store and the list of VMs, in ms. Default: 1,000. */
  storeTimeoutMs?: number
  /** Longest wait for a worker, in ms. Default: 2,000. */
  workerTimeoutMs?: number
}

/**
 * Bundles the HTTP implementations of everything outside. No connection is made before the first call.
 *
 * @param options - Address and time-outs.
 * @returns The platform, with `close` to end all connections; calls afterwards answer `closed`.
 * @throws TypeError when `platformUrl` is not a URL.
 *
 * @example
 * const platform = connectPlatform({ platformUrl: 'http://127.0.0.1:8100', storeTimeoutMs: 1000 })
 * await platform.table.read('config/current')
 * await platform.close()
 */
export function connectPlatform (options: PlatformOptions): Platform & { close (): Promise<void> } {
  const storeTimeoutMs = options.storeTimeoutMs ?? STORE_TIMEOUT_MS
  const pool = new ConnectionPool(options.platformUrl, PLATFORM_CONNECTIONS)
  const workers = new HttpWorkerConnector({ timeoutMs: options.workerTimeoutMs })
  const runners = new HttpRunnerClient()
  return {
    table: new HttpTable(pool, storeTimeoutMs),
    objects: new HttpObjectStore(pool, storeTimeoutMs),
    inventory: new HttpInventory(pool, storeTimeoutMs),
    workers,
    runners,
    close: async () => { await Promise.all([pool.close(), workers.close(), runners.close()]) }
  }
}
