import { done, notDone, unknownEffect, type Outcome } from '@gypsumspring/protocol'
import type { ConnectionPool } from '../_lib/ConnectionPool.ts'
import { encodeKey } from '../_lib/encodeKey.ts'
import { sendRequest, classifyError } from '../_lib/sendRequest.ts'
import { readBody } from '../_lib/readBody.ts'
import { parseFailureResponse } from '../_lib/parseFailureResponse.ts'
import { MAX_OBJECT_BYTES } from '../constants/index.ts'
import type { ObjectStore } from '../types.ts'

/** Client of the object store over HTTP. */
export class HttpObjectStore implements ObjectStore {
  readonly #pool: ConnectionPool
  readonly #timeoutMs: number

  /**
   * @param pool - Connections to the platform.
   * @param timeoutMs - Timeout of a call, in ms; for reads, the longest wait for the next part of the answer.
   */
  constructor (pool: ConnectionPool, timeoutMs: number) {
    this.#pool = pool
    this.#timeoutMs = timeoutMs
  }

  async put (key: string, bytes: Uint8Array): Promise<Outcome<void>> {
    if (bytes.length > MAX_OBJECT_BYTES) return notDone('invalid', `the object is larger than ${MAX_OBJECT_BYTES} bytes`)
    return (await this.#send('PUT', key, bytes)).map(() => undefined)
  }

  async get (key: string): Promise<Outcome<Uint8Array | undefined>> {
    const outcome = await this.#send('GET', key)
    const failure = outcome.isLeft() ? outcome.extract() : undefined
    const isAbsent = failure?.reason === 'not-found' && failure.certainty === 'not-done'
    return isAbsent ? done(undefined) : outcome
  }

  async remove (key: string): Promise<Outcome<void>> {
    return (await this.#send('DELETE', key)).map(() => undefined)
  }

  async #send (method: 'PUT' | 'GET' | 'DELETE', key: string, body?: Uint8Array): Promise<Outcome<Uint8Array>> {
    const encodedKey = encodeKey(key)
    // URL normalisation would remove a dot segment from the path.
    if (encodedKey === undefined || encodedKey === '' || encodedKey === '.' || encodedKey === '..') {
      return notDone('invalid', 'the key is empty, is a dot segment or contains a lone surrogate')
    }
    const headers = body === undefined ? undefined : { 'content-type': 'application/octet-stream' }
    const outcome = await sendRequest(this.#pool, {
      method,
      path: `/v1/objects/${encodedKey}`,
      headers,
      body,
      timeoutMs: this.#timeoutMs,
      ...method === 'GET' ? { stallTimeoutMs: this.#timeoutMs } : {}
    })
    if (outcome.isLeft()) return outcome as Outcome<never>
    const response = outcome.unsafeCoerce()
    try {
      const bytes = await readBody(response.body, MAX_OBJECT_BYTES)
      if (response.status >= 300) return parseFailureResponse(response.status, response.headers, bytes)
      if (bytes === undefined) return unknownEffect('invalid', `the object is larger than ${MAX_OBJECT_BYTES} bytes`)
      return done(bytes)
    } catch (error) {
      return unknownEffect(classifyError(error as Error), `the response was truncated: ${(error as Error).message}`)
    }
  }
}
