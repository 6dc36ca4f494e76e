import type { Outcome } from '@gypsumspring/protocol'
import { callJson } from '../_lib/callJson.ts'
import type { ConnectionPool } from '../_lib/ConnectionPool.ts'
import type { Inventory, Machine } from '../types.ts'
import { MachinesAnswer } from '../wire/index.ts'

/** The platform's list of VMs over HTTP. */
export class HttpInventory implements Inventory {
  readonly #pool: ConnectionPool
  readonly #timeoutMs: number

  /**
   * @param pool - Connections to the platform.
   * @param timeoutMs - Longest wait for an answer in ms.
   */
  constructor (pool: ConnectionPool, timeoutMs: number) {
    this.#pool = pool
    this.#timeoutMs = timeoutMs
  }

  async list (): Promise<Outcome<Machine[]>> {
    const call = { method: 'GET' as const, path: '/v1/machines', timeoutMs: this.#timeoutMs }
    return (await callJson(this.#pool, MachinesAnswer, call)).map(({ machines }) => machines)
  }
}
