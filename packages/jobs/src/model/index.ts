export { TrackedJob, StepInstance, TaskInstance, type TaskStatus } from './TrackedJob.ts'
export { decodeProgress, encodeProgress, type Progress } from './progress.ts'
