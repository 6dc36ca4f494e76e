import type { ClientAccount } from '../../types.ts'

/** The client accounts of one configuration, by name and by key. Of two accounts with one key the first counts. */
export class AccountDirectory {
  readonly #byName = new Map<string, ClientAccount>()
  readonly #byKey = new Map<string, ClientAccount>()

  constructor (accounts: Iterable<ClientAccount>) {
    for (const account of accounts) {
      if (this.#byName.has(account.name)) continue
      this.#byName.set(account.name, account)
      for (const key of account.keys) if (!this.#byKey.has(key)) this.#byKey.set(key, account)
    }
  }

  get size (): number {
    return this.#byName.size
  }

  findByName (name: string): ClientAccount | undefined {
    return this.#byName.get(name)
  }

  findByKey (key: string): ClientAccount | undefined {
    return this.#byKey.get(key)
  }
}
