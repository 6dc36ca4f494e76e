export * from './MemoryRecordStore.ts'
export * from './MemoryWorkers.ts'
export * from './PromiseChecker.ts'
export * from './startMemoryCell.ts'
