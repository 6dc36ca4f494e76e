export type * from './types.ts'
export { createSlotHolder } from './slotHolder/index.ts'
export { createSlotLedger } from './slotLedger/index.ts'
