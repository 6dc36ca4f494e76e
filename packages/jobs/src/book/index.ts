export { JobRun, StepRun, TaskRun, type TaskStatus } from './JobRun.ts'
export { decodeProgress, encodeProgress, type Progress } from './progress.ts'
