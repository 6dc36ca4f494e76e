export { type AccountUsage, TrackedJob, StepInstance, TaskInstance, type TaskStatus } from './TrackedJob.ts'
export { countOpenOccurrences, decodeProgress, encodeProgress, type Progress } from './progress.ts'
