import type { CallerRequest } from '../../types.ts'

/** A request without its final answer. */
export interface Tracked extends CallerRequest {
  waiting: boolean
  /** Sends that were not hedges. */
  attempts: number
  /** Runners whose exchange of this request has failed. */
  tried: Set<string>
  /** Some exchange may have run the request, so that it can no longer be said that it was not run. */
  mayHaveRun: boolean
  /** An answer is being passed on; there is no other one. */
  committed: boolean
  /** Runners with an exchange of this request in progress. */
  inFlight: Set<string>
  /** No token was free for it when it arrived. */
  waited: boolean
}
