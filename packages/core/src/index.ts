export type * from './types.ts'
export { createEndpointRouter } from './createEndpointRouter/index.ts'
export { createSlotHolder } from './createSlotHolder/index.ts'
export { createSlotLedger } from './createSlotLedger/index.ts'
