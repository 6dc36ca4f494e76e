import type { Configuration } from '@gypsumspring/protocol'
import type { ConfigurationView } from '../types.ts'

/** Holds the configuration in force in this process. Accepts only newer versions. */
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

  /** Puts a configuration in force if it is newer than the current one. Returns whether it did. */
  replace (configuration: Configuration): boolean {
    if (this.#current !== undefined && configuration.index.version <= this.version) return false
    this.#current = configuration
    for (const listener of this.#listeners) listener(configuration)
    return true
  }
}
