import type { Outcome } from '@gypsumspring/protocol'
import { requestValidatedJson } from '../_lib/requestValidatedJson.ts'
import type { ConnectionPool } from '../_lib/ConnectionPool.ts'
import type { Inventory, Machine } from '../types.ts'
import { MachinesResponse } from '../wire/index.ts'

/** Reads the platform's list of VMs over HTTP. */
export class HttpInventory implements Inventory {
  readonly #pool: ConnectionPool
  readonly #timeoutMs: number

  /**
   * @param pool - Connections to the platform.
   * @param timeoutMs - Longest wait for the next part of the answer to a call, in ms.
   */
  constructor (pool: ConnectionPool, timeoutMs: number) {
    this.#pool = pool
    this.#timeoutMs = timeoutMs
  }

  async list (): Promise<Outcome<Machine[]>> {
    const outcome = await requestValidatedJson(this.#pool, MachinesResponse, {
      method: 'GET', path: '/v1/machines', timeoutMs: this.#timeoutMs, stallTimeoutMs: this.#timeoutMs
    })
    return outcome.map(({ machines }) => machines)
  }
}
