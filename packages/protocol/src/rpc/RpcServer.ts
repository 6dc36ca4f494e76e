import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { TypeCompiler, type TypeCheck } from '@sinclair/typebox/compiler'
import type { Static, TObject } from '@sinclair/typebox'
import {
  isJSONRPCRequest, isJSONRPCRequests, JSONRPCErrorException, JSONRPCServer, type JSONRPCRequest
} from 'json-rpc-2.0'
import { describeSchemaErrors } from '../describeSchemaErrors/index.ts'
import { rpcMethods, type MethodTable } from '../rpcMessages/index.ts'
import { ABANDONED_CONNECTION_MS, INVALID_PARAMS } from './constants/index.ts'
import { readFrames, writeFrame, type FrameFault } from './_lib/readFrames.ts'

export type RpcHandlers<Methods extends MethodTable = typeof rpcMethods> = {
  -readonly [Method in keyof Methods]?: (
    params: Static<Methods[Method]['params']>
  ) => Promise<Static<Methods[Method]['result']>> | Static<Methods[Method]['result']>
}

/** Kind of fault on a connection, in a request or in a handler; used as a metric label. */
export type RpcFault = FrameFault | 'invalid-request' | 'invalid-params' | 'handler-error'

interface ServerOptions<Methods extends MethodTable> {
  /** Methods with their schemas. Default: `rpcMethods`. */
  methods?: Methods
  /** Called for each fault of a connection, a request or a handler, for metrics and logs. Default: does nothing. */
  onFault?: (fault: RpcFault, detail: string) => void
  /** Time after which a connection without any traffic is closed, in ms. Default: `ABANDONED_CONNECTION_MS`. */
  abandonedAfterMs?: number
}

/** Serves the RPC methods of one process over TCP. Owns its listening socket and all accepted connections. */
export class RpcServer<Methods extends MethodTable = typeof rpcMethods> {
  readonly #server: Server
  readonly #jsonRpcServer = new JSONRPCServer({ errorListener: () => {} })
  readonly #sockets = new Set<Socket>()
  readonly #onFault: (fault: RpcFault, detail: string) => void
  readonly #abandonedAfterMs: number

  constructor (handlers: RpcHandlers<Methods>, options: ServerOptions<Methods> = {}) {
    this.#onFault = options.onFault ?? (() => {})
    this.#abandonedAfterMs = options.abandonedAfterMs ?? ABANDONED_CONNECTION_MS
    this.#server = createServer((socket) => this.#accept(socket))
    const methods: MethodTable = options.methods ?? rpcMethods
    for (const [name, handler] of Object.entries(handlers)) {
      this.#addMethod(name, methods[name]!.params, handler as (params: unknown) => unknown)
    }
  }

  /** Starts listening and returns the port. Rejects if the address can't be bound. */
  listen (port: number, host: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, host, () => resolve((this.#server.address() as AddressInfo).port))
    })
  }

  /** Number of open connections. */
  get connections (): number {
    return this.#sockets.size
  }

  /** Stops listening and closes all connections. */
  close (): Promise<void> {
    for (const socket of this.#sockets) socket.destroy()
    return new Promise((resolve) => this.#server.close(() => resolve()))
  }

  #addMethod (name: string, schema: TObject, handler: (params: unknown) => unknown): void {
    // Compiled on first use, since a process receives calls of only a few methods.
    let check: TypeCheck<TObject> | undefined
    this.#jsonRpcServer.addMethod(name, async (params: unknown) => {
      check ??= TypeCompiler.Compile(schema)
      if (!check.Check(params)) {
        const [violation] = describeSchemaErrors(schema, params, { limit: 1 })
        const detail = `${name}: ${violation?.path} is ${violation?.value}: ${violation?.allowed}`
        this.#onFault('invalid-params', detail)
        throw new JSONRPCErrorException(detail, INVALID_PARAMS)
      }
      return await handler(params)
    })
    this.#jsonRpcServer.mapErrorToJSONRPCErrorResponse = (id, error) => {
      const code = error instanceof JSONRPCErrorException ? error.code : -32603
      if (!(error instanceof JSONRPCErrorException)) this.#onFault('handler-error', String(error))
      return { jsonrpc: '2.0', id, error: { code, message: String(error?.message ?? error) } }
    }
  }

  #accept (socket: Socket): void {
    this.#sockets.add(socket)
    socket.setNoDelay(true)
    // The client may be gone, or the network between may drop everything, without an end of the connection.
    socket.setTimeout(this.#abandonedAfterMs, () => socket.destroy())
    socket.once('close', () => this.#sockets.delete(socket))
    const peer = `${socket.remoteAddress}:${socket.remotePort}`
    const onMessage = (message: unknown) => { this.#receive(socket, message).catch((error) => { throw error }) }
    readFrames(socket, onMessage, (fault) => this.#onFault(fault, peer))
  }

  async #receive (socket: Socket, message: unknown): Promise<void> {
    if (!isJSONRPCRequest(message) && !isJSONRPCRequests(message)) {
      this.#onFault('invalid-request', 'the message is not a JSON-RPC 2.0 request')
      socket.destroy()
      return
    }
    const response = await this.#jsonRpcServer.receive(message as JSONRPCRequest)
    if (response !== null) writeFrame(socket, response)
  }
}
