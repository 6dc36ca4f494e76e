/** A map that evicts its oldest key when it exceeds a size limit. */
export class BoundedMap<Key, Value> {
  readonly #map = new Map<Key, Value>()
  readonly #limit: number

  constructor (limit: number) {
    this.#limit = limit
  }

  get (key: Key): Value | undefined {
    return this.#map.get(key)
  }

  set (key: Key, value: Value): void {
    this.#map.delete(key)
    this.#map.set(key, value)
    if (this.#map.size <= this.#limit) return
    const [oldest] = this.#map.keys()
    this.#map.delete(oldest as Key)
  }
}
