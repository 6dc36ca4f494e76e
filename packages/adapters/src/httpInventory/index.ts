import { TypeCompiler } from '@sinclair/typebox/compiler'
import type { Outcome } from '@gypsumspring/protocol'
import { parseOrigin } from '../_lib/parseOrigin.ts'
import { requestValidatedJson } from '../_lib/requestValidatedJson.ts'
import type { ConnectionPool } from '../_lib/ConnectionPool.ts'
import type { Inventory, Machine } from '../types.ts'
import { MachineRecord, MachinesResponse } from '../wire/index.ts'

const machineCheck = TypeCompiler.Compile(MachineRecord)

/** Reads the platform's list of VMs over HTTP. Leaves malformed VMs out, which other programs may have listed. */
export class HttpInventory implements Inventory {
  readonly #pool: ConnectionPool
  readonly #timeoutMs: number
  readonly #onMalformedMachine: (id: string) => void
  /** Ids of malformed VMs that were reported; each is reported once. */
  readonly #reported = new Set<string>()

  /**
   * @param pool - Connections to the platform.
   * @param timeoutMs - Longest wait for the next part of the answer to a call, in ms.
   * @param onMalformedMachine - Called with the id of a malformed VM, which is empty if it has none that can be read.
   */
  constructor (pool: ConnectionPool, timeoutMs: number, onMalformedMachine: (id: string) => void = () => {}) {
    this.#pool = pool
    this.#timeoutMs = timeoutMs
    this.#onMalformedMachine = onMalformedMachine
  }

  async list (): Promise<Outcome<Machine[]>> {
    const outcome = await requestValidatedJson(this.#pool, MachinesResponse, {
      method: 'GET', path: '/v1/machines', timeoutMs: this.#timeoutMs, stallTimeoutMs: this.#timeoutMs
    })
    return outcome.map(({ machines }) => machines.flatMap((machine) => this.#decode(machine)))
  }

  #decode (machine: unknown): Machine[] {
    if (machineCheck.Check(machine) && parseOrigin(machine.address) !== undefined) return [machine]
    const { id } = (machine ?? {}) as { id?: unknown }
    const name = typeof id === 'string' ? id : ''
    if (!this.#reported.has(name)) this.#onMalformedMachine(name)
    this.#reported.add(name)
    return []
  }
}
