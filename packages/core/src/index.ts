export * from './placement/index.ts'
export type * from './types.ts'
