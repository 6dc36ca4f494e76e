import type { CallerRequest } from '../../types.ts'

/** A request that has not received its final answer. */
export interface TrackedRequest extends CallerRequest {
  /** In the queue. */
  waiting: boolean
  /** Number of sends, without hedges. */
  attempts: number
  /** Runners whose exchange of this request has failed. */
  tried: Set<string>
  /** An exchange may have run the request, so that its answer can no longer be `not-run`. */
  mayHaveRun: boolean
  /** An answer is being forwarded to the caller, so that no other answer may follow. */
  committed: boolean
  /** Runners with an unfinished exchange of this request. */
  inFlight: Set<string>
  /** No token was free for it when it arrived. */
  waited: boolean
}
