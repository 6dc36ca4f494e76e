import { readFile } from 'node:fs/promises'
import { exitCodes, type CommandResult } from '../output/index.ts'
import { collectPhases, formatPhases } from '../summarizePhases/index.ts'
import { traceJob } from '../traceJob/index.ts'

/** Shows the timeline of a job from log files; the file `-` stands for standard input. */
export async function showTrace (job: string, files: readonly string[]): Promise<CommandResult> {
  return await withLogLines(files, (lines) => {
    const traceLines = traceJob(job, lines)
    return traceLines.length > 0
      ? { code: exitCodes.ok, output: traceLines }
      : { code: exitCodes.notFound, output: [], errors: [`no log line mentions job ${job}`] }
  })
}

/** Shows how long jobs spent in each phase, by queue and, with a period in seconds, by time of their end. */
export async function showPhases (files: readonly string[], periodS?: number): Promise<CommandResult> {
  if (periodS !== undefined && !(periodS > 0)) {
    return { code: exitCodes.usage, output: [], errors: ['--period: expected a number of seconds above 0'] }
  }
  return await withLogLines(files, (lines) => {
    const jobs = collectPhases(lines)
    return jobs.length > 0
      ? { code: exitCodes.ok, output: formatPhases(jobs, periodS === undefined ? {} : { periodMs: periodS * 1000 }) }
      : { code: exitCodes.notFound, output: [], errors: ['no log line reports the end of a job'] }
  })
}

async function withLogLines (
  files: readonly string[], show: (lines: string[]) => CommandResult
): Promise<CommandResult> {
  try {
    const texts = await Promise.all(files.map((file) => readFile(file === '-' ? '/dev/stdin' : file, 'utf8')))
    return show(texts.flatMap((text) => text.split('\n')))
  } catch (error) {
    return { code: exitCodes.usage, output: [], errors: [(error as Error).message] }
  }
}
