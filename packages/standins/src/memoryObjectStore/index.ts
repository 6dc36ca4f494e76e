import type { ObjectStore } from '@gypsumspring/adapters'
import { done, type Outcome } from '@gypsumspring/protocol'
import { FaultInjector } from '../faults/index.ts'

/** In-memory object store with fault injection. */
export class MemoryObjectStore implements ObjectStore {
  readonly faults = new FaultInjector()
  readonly #objects = new Map<string, Uint8Array>()

  put (key: string, bytes: Uint8Array): Promise<Outcome<void>> {
    return this.faults.apply(() => {
      this.#objects.set(key, Uint8Array.from(bytes))
      return done(undefined)
    })
  }

  get (key: string): Promise<Outcome<Uint8Array | undefined>> {
    return this.faults.apply(() => {
      const bytes = this.#objects.get(key)
      return done(bytes && Uint8Array.from(bytes))
    })
  }

  remove (key: string): Promise<Outcome<void>> {
    return this.faults.apply(() => {
      this.#objects.delete(key)
      return done(undefined)
    })
  }
}
