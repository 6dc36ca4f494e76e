import { Type, type Static } from '@sinclair/typebox'

/** Logarithm of a time in ms or of a factor; larger values could only stand for times of years. */
const Logarithm = Type.Number({ minimum: -25, maximum: 25 })

const Summary = Type.Array(Logarithm, { maxItems: 32 })

/** What an owner has learned, as stored for the next one. */
export const RunTimesState = Type.Object({
  /** Ids of workers with the logarithms of their run times relative to the others. */
  workers: Type.Array(Type.Tuple([Type.String(), Logarithm])),
  /** Names of queues, the method of prediction, the errors of all methods, and summaries: runs, ratios and errors. */
  queues: Type.Array(Type.Tuple([
    Type.String(), Type.Integer({ minimum: 0, maximum: 2 }), Type.Array(Type.Number(), { maxItems: 3 }),
    Summary, Summary, Summary
  ])),
  /** Groups of similar runs with a summary of them. */
  groups: Type.Array(Type.Tuple([Type.String(), Summary]))
})
export type RunTimesState = Static<typeof RunTimesState>
