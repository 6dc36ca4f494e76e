import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** Purpose of a server, which decides how many connections it may have and whether it reads bodies. */
export type ServerKind = 'api' | 'readiness' | 'metrics'

/** What a connection is doing. `handled`: the request was passed on, and its response is not complete. */
export type ConnectionPhase = 'idle' | 'receiving' | 'handled' | 'closing'

/** Part of the state of a connection that decides which connection is closed first. */
export interface ConnectionLoad {
  phase: ConnectionPhase
  /** Bytes of requests that the process keeps for the connection. */
  heldBytes: number
  /** Largest size that the body being received may reach, in bytes; 0 when there is none. */
  expectedBytes: number
  /** When the connection last transferred bytes, in ms. */
  progressAt: number
}

/** Counters and gauges. */
export interface LimitMetrics {
  count (name: string, labels?: Record<string, string>, amount?: number): void
  set (name: string, value: number, labels?: Record<string, string>): void
}

export interface LimitLog {
  warn (fields: Record<string, unknown>, message: string): void
}

/** Limits that were reached; values of the label `limit` of the counter. */
export type LimitName =
  'body-size' | 'body-shape' | 'body-stalled' | 'bytes' | 'connections' | 'headers' | 'header-time' |
  'pipelined' | 'readiness-body' | 'request-time' | 'response-unread'

export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void

/** A request that waits for the response to an earlier one. */
export interface PendingRequest {
  request: IncomingMessage
  response: ServerResponse
  handler: RequestHandler
}

/** A connection of a client. */
export interface ClientConnection extends ConnectionLoad {
  socket: Socket
  kind: ServerKind
  openedAt: number
  /** Whether no request has arrived on the connection. */
  isSilent: boolean
  bytesRead: number
  bytesWritten: number
  /** Value of `bytesRead` when the head of the latest request was complete. */
  bytesReadAtHead: number
  /** Bytes charged for a head that is incomplete. */
  headBytes: number
  /** Requests that wait for the response to the one before them. */
  waiting: PendingRequest[]
  /** Whether the client has sent more requests than may wait. */
  hasOverflown: boolean
  /** Response to the request that is being received or handled. */
  response: ServerResponse | undefined
  /** Ends the reception of the present body, with a response where possible. */
  refuseBody: ((status: number, limit: LimitName) => void) | undefined
}
