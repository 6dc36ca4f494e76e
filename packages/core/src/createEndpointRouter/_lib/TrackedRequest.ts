import type { CallerRequest } from '../../types.ts'

/** A request for which the router has not returned an `answer` action. */
export interface TrackedRequest extends CallerRequest {
  /** In the queue. */
  waiting: boolean
  /** Number of sends, without hedges. */
  attempts: number
  /** Runners whose exchange of this request has failed. */
  tried: Set<string>
  /** An exchange may have run the request, so that its outcome can no longer be `not-run`. */
  mayHaveRun: boolean
  /** A response is being streamed to the caller, so that no other response may follow. */
  committed: boolean
  /** Runners with an unfinished exchange of this request. */
  inFlight: Set<string>
  /** No token was free for it when it arrived. */
  waited: boolean
}
