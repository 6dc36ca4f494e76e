import { connect, type Socket } from 'node:net'
import { createJSONRPCRequest, JSONRPCClient, type JSONRPCError } from 'json-rpc-2.0'
import { done, failureOf, notDone, unknownEffect, type Outcome } from '../outcome/index.ts'
import type { Static } from '@sinclair/typebox'
import type { MethodTable, rpcMethods } from '../rpcMessages/index.ts'
import {
  CONNECT_TIMEOUT_MS, DEFAULT_CALL_TIMEOUT_MS, IDLE_CONNECTION_MS, INVALID_PARAMS, MAX_TIMEOUT_EXTENSION_MS,
  METHOD_NOT_FOUND
} from './constants/index.ts'
import { readFrames, writeFrame, type FrameProgress } from './_lib/readFrames.ts'

interface CallOptions {
  /**
   * Timeout of the call, in ms. It starts again with each part of a frame that arrives in parts: a large answer may
   * take seconds over a slow link, and so do the answers behind it. Default: 2,000.
   */
  timeoutMs?: number
}

/**
 * RPC client of one peer. Owns its connection, which is opened on the first call and reopened on the next call after it
 * was lost, or after a call timed out over it without any bytes from the peer: a connection may stop working without
 * being closed.
 */
export class RpcClient<Methods extends MethodTable = typeof rpcMethods> {
  readonly #host: string
  readonly #port: number
  readonly #idleAfterMs: number
  #connection: Promise<RpcConnection> | undefined

  /** @param idleAfterMs - Time after which an unused connection is closed, in ms. Default: `IDLE_CONNECTION_MS`. */
  constructor (address: string, idleAfterMs = IDLE_CONNECTION_MS) {
    this.#idleAfterMs = idleAfterMs
    const separator = address.lastIndexOf(':')
    this.#host = address.slice(0, separator).replace(/^\[|\]$/g, '')
    this.#port = Number(address.slice(separator + 1))
  }

  /**
   * Calls a method of the peer.
   *
   * @returns The result. A failure is `not-done` if the request can't have reached the peer or if the peer rejected it
   * as invalid, else `unknown`. Without a connection the reason is `timeout` if the peer did not react, else
   * `unavailable`.
   */
  async call<Method extends keyof Methods & string> (
    method: Method, params: Static<Methods[Method]['params']>, options: CallOptions = {}
  ): Promise<Outcome<Static<Methods[Method]['result']>>> {
    const timeoutMs = options.timeoutMs ?? DEFAULT_CALL_TIMEOUT_MS
    const opening = this.#connection ??= this.#open()
    let connection: RpcConnection
    try {
      connection = await opening
    } catch (error) {
      if (this.#connection === opening) this.#connection = undefined
      const reason = error instanceof ConnectTimeoutError ? 'timeout' : 'unavailable'
      return notDone(reason, `could not connect to ${this.#host}:${this.#port} (${(error as Error).message})`)
    }
    const sentAt = performance.now()
    const outcome = await connection.call(method, params, timeoutMs)
    if (failureOf(outcome)?.reason === 'timeout' && connection.lastBytesAt < sentAt) {
      if (this.#connection === opening) this.#connection = undefined
      connection.closeWhenIdle()
    }
    return outcome as Outcome<Static<Methods[Method]['result']>>
  }

  close (): void {
    this.#connection?.then((connection) => connection.close(), () => {})
    this.#connection = undefined
  }

  #open (): Promise<RpcConnection> {
    const opening = new Promise<RpcConnection>((resolve, reject) => {
      const socket = connect(this.#port, this.#host)
      const timer = setTimeout(() => socket.destroy(new ConnectTimeoutError()), CONNECT_TIMEOUT_MS)
      socket.setNoDelay(true)
      socket.once('error', reject)
      socket.once('close', () => {
        clearTimeout(timer)
        if (this.#connection === opening) this.#connection = undefined
      })
      socket.once('connect', () => {
        clearTimeout(timer)
        const connection = new RpcConnection(socket)
        socket.setTimeout(this.#idleAfterMs, () => {
          if (this.#connection === opening) this.#connection = undefined
          connection.closeWhenIdle()
        })
        resolve(connection)
      })
    })
    return opening
  }
}

/** The peer neither accepted nor refused a connection in time. */
class ConnectTimeoutError extends Error {
  constructor () {
    super(`no connection after ${CONNECT_TIMEOUT_MS} ms`)
  }
}

/** An open socket with its pending calls. */
class RpcConnection {
  readonly #socket: Socket
  readonly #jsonRpcClient: JSONRPCClient
  readonly #received: FrameProgress
  #lastId = 0
  #pendingCalls = 0
  #isClosing = false

  constructor (socket: Socket) {
    this.#socket = socket
    this.#jsonRpcClient = new JSONRPCClient((request) => writeFrame(socket, request))
    this.#received = readFrames(socket, (message) => this.#jsonRpcClient.receive(message as never), () => {})
    socket.once('close', () => this.#jsonRpcClient.rejectAllPendingRequests('connection lost'))
  }

  async call (method: string, params: unknown, timeoutMs: number): Promise<Outcome<unknown>> {
    if (!this.#socket.writable) return notDone('closed', `${method}: connection closed before the request was sent`)
    this.#pendingCalls++
    const id = ++this.#lastId
    const latestEnd = performance.now() + timeoutMs + MAX_TIMEOUT_EXTENSION_MS
    let timer: ReturnType<typeof setTimeout> | undefined
    const expireAfter = (delayMs: number): void => {
      timer = setTimeout(() => {
        const remainingMs = Math.min(this.#received.lastPartAt + timeoutMs, latestEnd) - performance.now()
        if (remainingMs > 0) expireAfter(remainingMs)
        else this.#jsonRpcClient.receive(createTimeoutResponse(id))
      }, delayMs)
    }
    expireAfter(timeoutMs)
    const response = await this.#jsonRpcClient.requestAdvanced(createJSONRPCRequest(id, method, params))
    clearTimeout(timer)
    this.#pendingCalls--
    this.#closeIfIdle()
    return response.error === undefined ? done(response.result) : toFailure(method, response.error)
  }

  /** Monotonic time at which bytes last arrived, in ms. */
  get lastBytesAt (): number {
    return this.#received.lastBytesAt
  }

  close (): void {
    this.#socket.destroy()
  }

  /** Closes the connection once its pending calls have ended; their answers may still arrive. */
  closeWhenIdle (): void {
    this.#isClosing = true
    this.#closeIfIdle()
  }

  #closeIfIdle (): void {
    if (this.#isClosing && this.#pendingCalls === 0) this.close()
  }
}

/** Code of the error response with which a call ends at its timeout; never sent to the peer. */
const TIMEOUT_CODE = -32001

/** Error code that json-rpc-2.0 uses for calls rejected by `rejectAllPendingRequests`. */
const CONNECTION_LOST_CODE = 0

function createTimeoutResponse (id: number) {
  return { jsonrpc: '2.0' as const, id, error: { code: TIMEOUT_CODE, message: 'timed out' } }
}

function toFailure (method: string, { code, message }: JSONRPCError): Outcome<never> {
  if (code === TIMEOUT_CODE) return unknownEffect('timeout', `${method}: timed out`)
  if (code === CONNECTION_LOST_CODE) return unknownEffect('closed', `${method}: ${message}`)
  return code === INVALID_PARAMS || code === METHOD_NOT_FOUND
    ? notDone('invalid', `${method}: ${message}`)
    : unknownEffect('unavailable', `${method}: ${message}`)
}
