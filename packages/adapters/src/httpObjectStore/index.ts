import { done, notDone, unknownEffect, type Outcome } from '@gypsumspring/protocol'
import type { ConnectionPool } from '../_lib/ConnectionPool.ts'
import { encodeKey } from '../_lib/encodeKey.ts'
import { exchange, toReason } from '../_lib/exchange.ts'
import { readBody } from '../_lib/readBody.ts'
import { readFailure } from '../_lib/readFailure.ts'
import { MAX_OBJECT_BYTES } from '../constants/index.ts'
import type { ObjectStore } from '../types.ts'

/** The object store over HTTP. */
export class HttpObjectStore implements ObjectStore {
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

  async put (key: string, bytes: Uint8Array): Promise<Outcome<void>> {
    if (bytes.length > MAX_OBJECT_BYTES) return notDone('invalid', `object is larger than ${MAX_OBJECT_BYTES} bytes`)
    return (await this.#call('PUT', key, bytes)).map(() => undefined)
  }

  async get (key: string): Promise<Outcome<Uint8Array | undefined>> {
    const outcome = await this.#call('GET', key)
    const failure = outcome.isLeft() ? outcome.extract() : undefined
    const absent = failure?.reason === 'not-found' && failure.certainty === 'not-done'
    return absent ? done(undefined) : outcome
  }

  async remove (key: string): Promise<Outcome<void>> {
    return (await this.#call('DELETE', key)).map(() => undefined)
  }

  async #call (method: 'PUT' | 'GET' | 'DELETE', key: string, body?: Uint8Array): Promise<Outcome<Uint8Array>> {
    const name = encodeKey(key)
    // Dot segments would be removed from the path.
    if (name === undefined || name === '' || name === '.' || name === '..') {
      return notDone('invalid', 'the key is empty, a dot segment or not well-formed text')
    }
    const headers = body === undefined ? undefined : { 'content-type': 'application/octet-stream' }
    const outcome = await exchange(this.#pool, {
      method, path: `/v1/objects/${name}`, headers, body, timeoutMs: this.#timeoutMs
    })
    if (outcome.isLeft()) return outcome as Outcome<never>
    const answer = outcome.unsafeCoerce()
    try {
      const bytes = await readBody(answer.body, MAX_OBJECT_BYTES)
      if (answer.status >= 300) return readFailure(answer.status, answer.headers, bytes)
      if (bytes === undefined) return unknownEffect('invalid', `the object is larger than ${MAX_OBJECT_BYTES} bytes`)
      return done(bytes)
    } catch (error) {
      return unknownEffect(toReason(error as Error), `the answer was cut off: ${(error as Error).message}`)
    }
  }
}
