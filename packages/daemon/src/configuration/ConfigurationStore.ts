import type { Configuration } from '@gypsumspring/protocol'
import type { ConfigurationView } from '../types.ts'

/** The configuration in force in this process; takes only higher versions. */
export class ConfigurationStore implements ConfigurationView {
  readonly #listeners = new Set<(configuration: Configuration) => void>()
  #current: Configuration | undefined

  get current (): Configuration | undefined {
    return this.#current
  }

  get version (): number {
    return this.#current?.index.version ?? 0
  }

  subscribe (listener: (configuration: Configuration) => void): () => void {
    this.#listeners.add(listener)
    if (this.#current !== undefined) listener(this.#current)
    return () => { this.#listeners.delete(listener) }
  }

  /** Puts a configuration in force unless it is not newer; tells whether it did. */
  replace (configuration: Configuration): boolean {
    if (this.#current !== undefined && configuration.index.version <= this.version) return false
    this.#current = configuration
    for (const listener of this.#listeners) listener(configuration)
    return true
  }
}
