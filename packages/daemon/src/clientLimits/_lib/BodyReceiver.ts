import type { IncomingMessage } from 'node:http'
import { SMALL_BODY_BYTES } from '../chooseConnectionsToClose/index.ts'
import { isWithinShape, type JsonShapeLimits } from '../isWithinShape/index.ts'
import type { ClientConnection, LimitName } from '../types.ts'
import type { ConnectionTable } from './ConnectionTable.ts'
import { Turns } from './Turns.ts'

/** How a body is received. */
export interface BodyLimits {
  maxBytes: number
  shape: JsonShapeLimits
}

/** Ends a request with a response. */
export type Refuse = (connection: ClientConnection, request: IncomingMessage, status: number, limit: LimitName) => void

/**
 * Large bodies that are read from in one turn of the event loop. A read returns up to 64 KB; without this limit, a turn
 * reads all that a crowd has sent, which delayed other requests by more than 1 s.
 */
const LARGE_READS_PER_TURN = 4

/** Received pieces below this size are copied together, since each piece takes 200 bytes beside its content. */
const SMALL_PIECE_BYTES = 2 * 1024
const JOINED_PIECES_BYTES = 4 * 1024

/** Time without progress for which a body counts when it is announced, in ms: a round trip on a slow link. */
const NEW_BODY_HANDICAP_MS = 250

/** Receives the bodies of requests, counts their bytes as they arrive, and passes them on as texts. */
export class BodyReceiver {
  readonly #table: ConnectionTable
  readonly #refuse: Refuse
  readonly #reads = new Turns(LARGE_READS_PER_TURN)
  /** Large bodies are parsed one by one, with a turn of the event loop between them, so that small ones don't wait. */
  readonly #parsing = new Turns(1)

  constructor (table: ConnectionTable, refuse: Refuse) {
    this.#table = table
    this.#refuse = refuse
  }

  /** Receives the body of a request. A body beyond the limits is refused, and `onText` is never called for it. */
  receive (
    connection: ClientConnection, request: IncomingMessage, limits: BodyLimits, onText: (text: string) => void
  ): void {
    const announced = getAnnouncedBytes(request)
    if (announced > limits.maxBytes) {
      this.#refuse(connection, request, 413, 'body-size')
      return
    }
    const pieces = new Pieces()
    // A large body is charged when it is announced, so that no more of them are begun than there is room for.
    let chargedBytes = announced > SMALL_BODY_BYTES ? announced : 0
    const stopReceiving = () => {
      connection.refuseBody = undefined
      connection.expectedBytes = 0
      request.off('data', onData).off('end', onEnd).off('close', onClose)
    }
    const release = () => {
      this.#table.charge(connection, -chargedBytes)
      chargedBytes = 0
    }
    const onClose = () => {
      stopReceiving()
      release()
    }
    const refuse = (status: number, limit: LimitName) => {
      onClose()
      this.#refuse(connection, request, status, limit)
    }
    const onData = (piece: Buffer) => {
      pieces.add(piece)
      connection.progressAt = performance.now()
      if (pieces.bytes > limits.maxBytes) {
        refuse(413, 'body-size')
        return
      }
      if (pieces.bytes > SMALL_BODY_BYTES) this.#pauseUntilTurn(connection, request)
      const uncharged = Math.max(0, pieces.bytes - chargedBytes)
      chargedBytes += uncharged
      if (uncharged > 0) this.#table.reserve(connection, uncharged)
    }
    const passOn = () => {
      const bytes = pieces.join()
      if (connection.socket.destroyed || isWithinShape(bytes, limits.shape)) {
        release()
        onText(bytes.toString())
      } else refuse(413, 'body-shape')
    }
    const onEnd = () => {
      stopReceiving()
      // From here on the connection is not chosen any more: the request may be passed on at any time.
      connection.phase = 'handled'
      if (pieces.bytes <= SMALL_BODY_BYTES) passOn()
      else this.#parsing.add(passOn)
    }
    connection.phase = 'receiving'
    connection.expectedBytes = Number.isNaN(announced) ? limits.maxBytes : announced
    connection.refuseBody = refuse
    // A new large body counts as less advanced than those that progress, which are closed for it only once they stall.
    connection.progressAt -= NEW_BODY_HANDICAP_MS
    // Paused before there is a listener, which would read on at once.
    if (announced > SMALL_BODY_BYTES) this.#pauseUntilTurn(connection, request)
    request.on('data', onData).once('end', onEnd).once('close', onClose)
    if (chargedBytes > 0) this.#table.reserve(connection, chargedBytes)
  }

  /**
   * Stops reading a request until its turn. The server pauses the socket itself when the request has 16 KB unread. To
   * pause the socket here would race with its own resumption, after which it could not be paused any more.
   */
  #pauseUntilTurn (connection: ClientConnection, request: IncomingMessage): void {
    request.pause()
    this.#reads.add(() => { if (connection.phase === 'receiving') request.resume() })
  }
}

/** Returns the size of a body that the request announces; NaN when it announces none. */
export function getAnnouncedBytes ({ headers }: IncomingMessage): number {
  return headers['transfer-encoding'] === undefined ? Number(headers['content-length'] ?? 0) : NaN
}

/** The pieces of a body in order of arrival. */
class Pieces {
  bytes = 0
  readonly #pieces: Buffer[] = []
  #joined: Buffer | undefined
  #joinedBytes = 0

  add (piece: Buffer): void {
    this.bytes += piece.length
    if (piece.length >= SMALL_PIECE_BYTES) {
      this.#endJoined()
      this.#pieces.push(piece)
      return
    }
    if (this.#joinedBytes + piece.length > JOINED_PIECES_BYTES) this.#endJoined()
    this.#joined ??= Buffer.allocUnsafeSlow(JOINED_PIECES_BYTES)
    this.#joinedBytes += piece.copy(this.#joined, this.#joinedBytes)
  }

  join (): Buffer {
    this.#endJoined()
    return this.#pieces.length === 1 ? this.#pieces[0]! : Buffer.concat(this.#pieces)
  }

  #endJoined (): void {
    if (this.#joined !== undefined) this.#pieces.push(this.#joined.subarray(0, this.#joinedBytes))
    this.#joined = undefined
    this.#joinedBytes = 0
  }
}
